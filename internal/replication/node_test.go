package replication

import (
	"context"
	"crypto/ed25519"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/faultproxy"
	"cairnfront/internal/replication/statemachine"
	"cairnfront/internal/replication/transport"
	"cairnfront/internal/sim/faults"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const patience = 30 * time.Second

// town is routers' ledgers in three zones, each way between two over a relay.
type town struct {
	t     *testing.T
	net   *faultproxy.Net
	peers []transport.Peer
	keys  []ed25519.PrivateKey
	lns   []net.Listener
	addrs []string
	ways  [][]string
	runs  []*running
}

type running struct {
	*Node
	stop func()
	fs   vfs.FS
	ask  uint64
}

func newTown(t *testing.T, n int) *town {
	x := &town{t: t, net: faultproxy.New(1, n)}
	t.Cleanup(x.net.Close)
	for i := range n {
		key := ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+i)), 32)))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		x.keys, x.lns, x.addrs = append(x.keys, key), append(x.lns, ln), append(x.addrs, ln.Addr().String())
		x.peers = append(x.peers, transport.Peer{Name: fmt.Sprint("r", i), PublicKey: key.Public().(ed25519.PublicKey)})
		x.runs = append(x.runs, nil)
	}
	for i := range n {
		var row []string
		for j := range n {
			way, err := x.net.Stream(i, j, x.lns[j].Addr().String())
			require.NoError(t, err)
			row = append(row, way)
		}
		x.ways = append(x.ways, row)
	}
	for i := range n {
		x.start(i, vfs.NewFaultFS(uint64(i+1)))
	}
	t.Cleanup(func() {
		for i := range x.runs {
			x.end(i)
		}
	})
	return x
}

func (x *town) start(i int, fs vfs.FS) {
	var peers []transport.Peer
	var names []string
	for j, p := range x.peers {
		p.Address = x.ways[i][j]
		peers, names = append(peers, p), append(names, p.Name)
	}
	if x.lns[i] == nil {
		var err error
		require.Eventually(x.t, func() bool { // where it was
			x.lns[i], err = net.Listen("tcp", x.addrs[i])
			return err == nil
		}, patience, 10*time.Millisecond)
	}
	l, err := New(Config{Name: x.peers[i].Name, Zone: fmt.Sprint("z", i%3), ReplicaCount: 3, InitialMembers: names, ReplaceAfterSeconds: 1.5, Disk: fs,
		Transport: &transport.Transport{Name: x.peers[i].Name, PrivateKey: x.keys[i], Peers: peers}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	require.NoError(x.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	ln := x.lns[i]
	go func() {
		_ = l.Run(ctx, ln)
		close(done)
	}()
	x.runs[i] = &running{Node: l, fs: fs, stop: func() { cancel(); <-done }}
}

// end stops a router; nothing of what it did not sync is on its disk.
func (x *town) end(i int) vfs.FS {
	r := x.runs[i]
	if r == nil {
		return nil
	}
	r.stop()
	x.runs[i], x.lns[i] = nil, nil
	return r.fs
}

// claim asks at a router for a key; tried again while nobody answers.
func (x *town) claim(i int, key, group string) statemachine.Result {
	x.t.Helper()
	r := x.runs[i]
	r.ask++
	for end := time.Now().Add(patience); time.Now().Before(end); {
		got := make(chan any, 1)
		r.Propose(statemachine.Command{Op: statemachine.OpReserve, Key: key, Group: group, LifetimeSeconds: 60, Requester: x.peers[i].Name, RequestNumber: r.ask}, time.Now().Add(2*time.Second), func(res statemachine.Result, err error) {
			if err != nil {
				got <- err
			} else {
				got <- res
			}
		})
		if res, ok := (<-got).(statemachine.Result); ok {
			return res
		}
	}
	x.t.Fatalf("r%d: no answer for %s", i, key)
	return statemachine.Result{}
}

func (x *town) report(i int) Report {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := x.runs[i].Report(ctx)
	require.NoError(x.t, err)
	return r
}

func (x *town) healthy(i int, want string) {
	x.t.Helper()
	require.Eventually(x.t, func() bool { return strings.Contains(x.report(i).Health, want) }, patience, 50*time.Millisecond, "r%d: %+v", i, x.report(i).Health)
}

// TestKeyedTxnIsFollowedAfterItsRoutersDeath: a claim made at a router that is then lost with its disk is known at each other router,
// and its slices get another holder.
func TestKeyedTxnIsFollowedAfterItsRoutersDeath(t *testing.T) {
	x := newTown(t, 5)
	x.healthy(0, "bears the loss of a zone")
	for k := range 20 {
		assert.True(t, x.claim(1, fmt.Sprint("k", k), "g1").Granted)
	}
	lost := time.Now()
	x.end(1) // the machine burns, its disk with it
	for k := range 20 {
		r := x.claim([]int{0, 2, 3, 4}[k%4], fmt.Sprint("k", k), "g2")
		assert.False(t, r.Granted)
		assert.Equal(t, "g1", r.Reservation.Group)
	}
	t.Logf("20 claims followed %.1f s after the loss", time.Since(lost).Seconds())
	x.healthy(0, "bears the loss of a zone") // others took its place
	t.Logf("whole again %.1f s after the loss", time.Since(lost).Seconds())
	for _, l := range x.report(0).Shards {
		assert.Len(t, l.Replicas, 3)
		assert.NotContains(t, l.Replicas, "r1")
	}
	x.start(1, vfs.NewFaultFS(99)) // a new machine under the old name
	require.Eventually(t, func() bool { return len(x.report(1).Shards) > 0 }, patience, 50*time.Millisecond, "it is taken in")
	t.Logf("taken in %.1f s after the loss", time.Since(lost).Seconds())
	assert.False(t, x.claim(1, "k3", "g2").Granted)
}

// TestMinorityGrantsNothing: of two halves that get the same key only one grants it, and the other learns of it after the cut.
func TestMinorityGrantsNothing(t *testing.T) {
	x := newTown(t, 3)
	x.healthy(0, "bears the loss of a zone")
	x.net.Play(faults.Script{Peers: 3, Until: 1e6, Acts: []faults.Act{{Do: faults.Cut, From: []int{0}, To: []int{1, 2}, Both: true}}})
	got := make(chan error, 1)
	x.runs[0].Propose(statemachine.Command{Op: statemachine.OpReserve, Key: "k", Group: "g1", LifetimeSeconds: 60, Requester: "r0", RequestNumber: 1 << 50}, time.Now().Add(1500*time.Millisecond),
		func(_ statemachine.Result, err error) { got <- err })
	assert.True(t, x.claim(1, "k", "g2").Granted)
	assert.ErrorIs(t, <-got, ErrNoAnswer)
	x.net.Play(faults.Script{Peers: 3, Until: 1e6})
	r := x.claim(0, "k", "g3")
	assert.False(t, r.Granted)
	assert.Equal(t, "g2", r.Reservation.Group)
}

// TestAllOffAndOnAgain: what was acknowledged is there after all machines were off at once.
func TestAllOffAndOnAgain(t *testing.T) {
	x := newTown(t, 3)
	x.healthy(0, "bears the loss of a zone")
	assert.True(t, x.claim(0, "k", "g1").Granted)
	var disks []vfs.FS
	for i := range 3 {
		disks = append(disks, x.end(i))
	}
	for i := range 3 {
		disks[i].(*vfs.FaultFS).Restart()
		x.start(i, disks[i])
	}
	assert.False(t, x.claim(2, "k", "g2").Granted)
}
