package membership

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/partition"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 20 * time.Second

// testNodes opens two nodes on loopback that know each other. The first learns the second's address from its record.
func testNodes(t *testing.T) (first, second *Node) {
	t.Helper()
	limits := ratelimit.Limits{PerPeerDatagrams: 1000, PerPeerBytes: 1e6, TotalDatagrams: 1000, TotalBytes: 1e6}
	configs := make([]Config, 2)
	var roster []RosterEntry
	for i := range configs {
		seed, public, err := datagram.GenerateKey()
		require.NoError(t, err)
		key, err := datagram.ParsePrivateKey(seed)
		require.NoError(t, err)
		publicKey, err := datagram.ParsePublicKey(public)
		require.NoError(t, err)
		entry := RosterEntry{Name: fmt.Sprint("router-", i), Key: publicKey}
		roster = append(roster, entry)
		configs[i] = Config{
			Name:          entry.Name,
			Zone:          fmt.Sprint("zone-", i),
			Listen:        "127.0.0.1:0",
			Key:           key,
			ReceiveLimits: limits,
			SendLimits:    limits,
			Seed:          uint64(i),
		}
	}
	configs[0].Roster = roster
	first, err := New(configs[0], telemetry.New(io.Discard, ""))
	require.NoError(t, err)
	configs[1].Roster = []RosterEntry{roster[0], roster[1]}
	configs[1].Roster[0].Address = first.Addr()
	second, err = New(configs[1], telemetry.New(io.Discard, ""))
	require.NoError(t, err)
	return first, second
}

// TestNodesDiscoverEachOtherAndLeave runs two nodes on loopback. They must see each other with address and zone,
// refuse a roster that changes a key or does not list them, and answer requests with an error after they stopped: a
// caller must not wait forever.
func TestNodesDiscoverEachOtherAndLeave(t *testing.T) {
	first, second := testNodes(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	done := make(chan error, 2)
	for _, n := range []*Node{first, second} {
		go func() { done <- n.Run(ctx) }()
	}
	report := func() Report {
		r, err := first.Report(ctx)
		require.NoError(t, err)
		return r
	}
	isComplete := func() bool { return report().PartitionState == partition.Complete.WireName() }
	require.Eventually(t, isComplete, testTimeout, 10*time.Millisecond)
	require.Len(t, report().Members, 2)
	assert.Equal(t, "zone-1", report().Members[1].Zone)
	assert.Equal(t, second.Addr(), report().Members[1].Address, "learnt from its record")

	other, _, err := datagram.GenerateKey()
	require.NoError(t, err)
	changed, err := datagram.ParsePublicKey(other)
	require.NoError(t, err)
	roster := []RosterEntry{first.config.Roster[0], {Name: "router-1", Key: changed}}
	require.ErrorIs(t, first.UpdateRoster(ctx, roster), ErrKeyChanged)
	require.ErrorIs(t, first.UpdateRoster(ctx, roster[1:1]), ErrNotInRoster)

	require.NoError(t, second.Leave(ctx))
	require.Eventually(t, func() bool { return report().Roster == 1 }, testTimeout, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	require.NoError(t, <-done)
	_, err = first.Report(t.Context())
	require.ErrorIs(t, err, ErrStopped)
	expired, end := context.WithCancel(t.Context())
	end()
	assert.Error(t, second.Leave(expired))
}

// TestLogLinesOfNode checks the log lines of a node about a peer, the partition state, a name conflict and a panic.
func TestLogLinesOfNode(t *testing.T) {
	first, second := testNodes(t)
	require.NoError(t, second.conn.Close())
	defer func() { _ = first.conn.Close() }()
	var log strings.Builder
	first.metrics = telemetry.New(&log, "")
	record := second.view.SelfRecord()
	message := swim.Message{Kind: swim.Push, Records: []swim.MemberRecord{record}}
	first.executeActions(first.view.HandleMessage(0, second.self, message))
	first.updatePartition(first.now() + 2)
	assert.Contains(t, log.String(), fmt.Sprintf(`msg="peer state changed" peer=router-1 state=alive `+
		`previous_state=unknown reason=newer_record incarnation=%d refutations=0`, record.Incarnation.StartMillis))
	assert.Contains(t, log.String(),
		`msg="partition state changed" state=complete previous_state=alone epoch=2 present=2 roster=2 stuck=0`)
	first.recordStateChange(swim.StateChange{
		Member:           second.self,
		From:             swim.Suspect,
		To:               swim.Failed,
		Reason:           swim.ReasonProbesFailed,
		SuspectedSeconds: 1.23456,
	})
	assert.Contains(t, log.String(), "reason=probes_failed incarnation=0 refutations=0 duration_seconds=1.23\n")
	first.executeActions([]swim.Action{swim.NameConflict{InstanceID: 5}})
	assert.Contains(t, log.String(), `msg="peer name conflict" instance_id=5`)
	first.withRecovery(func() { panic("on purpose") })
	assert.Contains(t, log.String(), `msg="panic recovered" component=membership error="on purpose" stack=`)
}

// TestReasonsOfStateChangesAreDistinct checks that each reason has a unique text in snake_case.
func TestReasonsOfStateChangesAreDistinct(t *testing.T) {
	seen := map[string]bool{}
	for reason := swim.ReasonNotInRoster; reason <= swim.ReasonPreloaded; reason++ {
		text := reason.String()
		assert.Regexp(t, "^[a-z]+(_[a-z]+)*$", text)
		assert.False(t, seen[text], text)
		seen[text] = true
	}
	assert.Len(t, seen, 14)
}

// TestRefusalReasonsAreDistinct checks that each reason for refusing a datagram has its own error and label. If two
// reasons shared a label, an attack could look like a wrong clock.
func TestRefusalReasonsAreDistinct(t *testing.T) {
	seen := map[string]bool{}
	for i, entry := range refusalReasons {
		reason := refusalReason(i)
		if reason != refusedOther {
			assert.Equal(t, reason, classifyRefusal(fmt.Errorf("decode: %w", entry.err)))
		}
		assert.Equal(t, entry.text, reason.String())
		assert.False(t, seen[entry.text], entry.text)
		seen[entry.text] = true
	}
	assert.Equal(t, refusedOther, classifyRefusal(io.EOF))
}

// TestRefusalReasonsAreThePublishedLabels checks the labels that operators see in the dump of the counters.
func TestRefusalReasonsAreThePublishedLabels(t *testing.T) {
	var texts []string
	for i := range refusalReasons {
		texts = append(texts, refusalReason(i).String())
	}
	assert.Equal(t, []string{
		"other", "malformed", "unsupported_version", "unknown_member", "wrong_recipient", "bad_signature", "replayed",
		"stale_incarnation",
	}, texts)
}

// TestPartitionStatesAreThePublishedLabels checks the state names in log lines and in the dump of the counters.
func TestPartitionStatesAreThePublishedLabels(t *testing.T) {
	for state, want := range []string{"alone", "minority", "disagreeing", "majority", "complete"} {
		assert.Equal(t, want, partition.State(state).String())
	}
}
