package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/cacheproto"
	"cairnfront/internal/discovery"
	"cairnfront/internal/request"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// deadlineSlack is the tolerance in seconds that the protocol allows between the timeout sent to an endpoint and the
// client's remaining time.
const deadlineSlack = 0.15

// receivedLine is the command line of an attempt as the endpoint received it.
type receivedLine struct {
	command cacheproto.Command
	at      time.Time
}

// slowEndpoints dials the endpoints c and d. A dial takes dialDelay, and the endpoint starts to read from the new
// connection after readDelay.
type slowEndpoints struct {
	dialDelay, readDelay time.Duration
	received             chan receivedLine
}

func (s *slowEndpoints) dial(ctx context.Context, _ string) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(s.dialDelay):
	}
	clientSide, endpointSide := net.Pipe()
	go func() {
		time.Sleep(s.readDelay)
		reader := bufio.NewReader(endpointSide)
		for {
			line, err := reader.ReadBytes('\n')
			if err != nil {
				return
			}
			command, err := cacheproto.ParseCommand(line[:len(line)-2])
			if err != nil || command.Kind != cacheproto.CommandAttempt {
				continue
			}
			body := make([]byte, command.BodyBytes+len(cacheproto.LineEnd))
			if _, err := io.ReadFull(reader, body); err != nil {
				return
			}
			s.received <- receivedLine{command, time.Now()}
		}
	}()
	return clientSide, nil
}

// startDispatcher runs a dispatcher with the system clock and the endpoints c and d until the test ends.
func startDispatcher(t *testing.T, decider routing.Decider, dial func(context.Context, string) (net.Conn, error),
) *Dispatcher {
	t.Helper()
	metrics := telemetry.New(io.Discard, "")
	pool := &upstream.Pool{
		Admission:                admission.New(64, 256),
		Metrics:                  metrics,
		ConnectTimeout:           400 * time.Millisecond,
		MaxAttemptsPerConnection: 4,
		Dial:                     dial,
	}
	d := New(decider, routing.Settings{routing.SettingParentKind: "1", routing.SettingOriginKind: "2"}, pool, metrics)
	pool.OnEvent = d.UpstreamEvent
	ctx, cancel := context.WithCancel(t.Context())
	pool.Start(ctx)
	d.LoadBootstrap([]discovery.Event{{Kind: discovery.Snapshot, Endpoints: []discovery.Endpoint{
		{Address: "c", Endpoint: routing.Endpoint{ID: "c"}},
		{Address: "d", Endpoint: routing.Endpoint{ID: "d"}},
	}}})
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
		assert.NoError(t, pool.Wait())
	})
	return d
}

// startHedgedAttempts starts an attempt at c when a request arrives, and a hedged attempt at d 50 ms later.
func startHedgedAttempts(ev routing.Event) []routing.Action {
	switch ev := ev.(type) {
	case routing.RequestArrived:
		return []routing.Action{
			routing.StartAttempt{Request: ev.Request, Endpoint: "c", Source: "c"},
			routing.SetTimer{AfterSeconds: 0.05, Token: 7},
		}
	case routing.TimerFired:
		return []routing.Action{routing.StartAttempt{Request: "9b1f03aa5c7e2d41", Endpoint: "d", Source: "d"}}
	}
	return nil
}

// Guards against a timeout in the command line that was computed before a slow connect or a blocked write: the endpoint
// would work for a client that has given up. The timeout in each line must be the client's remaining time when the line
// arrives, for a first attempt and for a hedged one.
func TestTimeoutSentToEndpointIsTheClientsRemainingTime(t *testing.T) {
	for name, test := range map[string]struct {
		endpoints slowEndpoints
		remaining time.Duration
		bodyBytes int
		lines     int // minimum number of lines; none may arrive after the client's deadline
	}{
		"slow connect":           {slowEndpoints{dialDelay: 350 * time.Millisecond}, time.Second, 0, 2},
		"slow connect, too late": {slowEndpoints{dialDelay: 350 * time.Millisecond}, 200 * time.Millisecond, 0, 0},
		"slow reads": {
			slowEndpoints{readDelay: 500 * time.Millisecond}, time.Second, 0, 2,
		},
		"slow reads of a body": {
			slowEndpoints{readDelay: 500 * time.Millisecond}, time.Second, 40_000, 2,
		},
		"slow connect and reads": {
			slowEndpoints{dialDelay: 350 * time.Millisecond, readDelay: 500 * time.Millisecond},
			1500 * time.Millisecond, 0, 2,
		},
		"slow connect and reads, too late": {
			slowEndpoints{dialDelay: 350 * time.Millisecond, readDelay: 500 * time.Millisecond},
			500 * time.Millisecond, 0, 0,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := test.endpoints
			endpoints.received = make(chan receivedLine, 9)
			d := startDispatcher(t, &scriptedDecider{respond: startHedgedAttempts}, endpoints.dial)
			startedAt := time.Now()
			r := &request.Request{
				ID: "9b1f03aa5c7e2d41", ClassName: "page", Object: "7f3a9c21e0b4d655", Part: "0",
				ArrivedAt:      d.Clock(),
				Deadline:       d.Clock() + test.remaining.Seconds(),
				ResponseWriter: &responseRecorder{},
			}
			if test.bodyBytes > 0 {
				r.Body = &request.Body{Bytes: make([]byte, test.bodyBytes)}
			}
			require.True(t, d.RequestArrived(r))
			time.Sleep(test.remaining + 300*time.Millisecond)
			lines := 0
			for ; len(endpoints.received) > 0; lines++ {
				line := <-endpoints.received
				remaining := test.remaining - line.at.Sub(startedAt)
				assert.Positive(t, remaining, "no line arrives after the client's deadline")
				assert.LessOrEqual(t, line.command.TimeoutSeconds, remaining.Seconds()+deadlineSlack)
				assert.Greater(t, line.command.TimeoutSeconds, remaining.Seconds()-deadlineSlack, "and not too short")
			}
			assert.GreaterOrEqual(t, lines, test.lines)
		})
	}
}
