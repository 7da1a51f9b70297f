package membership

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/telemetry"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testPatience = 20 * time.Second

// testNodes opens two nodes on loopback that know each other; the address of the second is learnt from its record.
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

func TestNodesFindEachOtherAndLeave(t *testing.T) {
	first, second := testNodes(t)
	ctx, cancel := context.WithTimeout(t.Context(), testPatience)
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
	require.Eventually(t, func() bool { return report().PartitionState == "whole" }, testPatience, 10*time.Millisecond)
	require.Len(t, report().Members, 2)
	assert.Equal(t, "zone-1", report().Members[1].Zone)
	assert.Equal(t, second.Addr(), report().Members[1].Address, "learnt from its record")

	other, _, err := datagram.GenerateKey()
	require.NoError(t, err)
	changed, err := datagram.ParsePublicKey(other)
	require.NoError(t, err)
	roster := []RosterEntry{first.config.Roster[0], {Name: "router-1", Key: changed}}
	assert.ErrorContains(t, first.UpdateRoster(ctx, roster), "can't change")
	assert.ErrorContains(t, first.UpdateRoster(ctx, roster[1:1]), "is not in it")

	require.NoError(t, second.Leave(ctx))
	require.Eventually(t, func() bool { return report().Roster == 1 }, testPatience, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	require.NoError(t, <-done)
	_, err = first.Report(t.Context())
	assert.ErrorIs(t, err, ErrStopped)
	expired, end := context.WithCancel(t.Context())
	end()
	assert.Error(t, second.Leave(expired))
}

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

// TestRefusalReasonsAreThePublishedLabels holds the texts that operators read in the dump of the counters.
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

// TestPartitionStatesAreThePublishedLabels holds the texts in log lines and in the dump of the counters.
func TestPartitionStatesAreThePublishedLabels(t *testing.T) {
	for state, want := range []string{"alone", "minority", "disagreeing", "majority", "complete"} {
		assert.Equal(t, want, partitionStateText(state).String())
	}
}
