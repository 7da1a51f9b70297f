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

const testTimeout = 30 * time.Second

// testCluster runs nodes in three zones, with a fault proxy for each direction between two nodes.
type testCluster struct {
	t            *testing.T
	net          *faultproxy.Network
	peers        []transport.Peer
	keys         []ed25519.PrivateKey
	listeners    []net.Listener
	addresses    []string   // listener addresses, by node
	proxies      [][]string // proxy addresses, by sender and receiver
	nodes        []*runningNode
	clockOffsets []time.Duration // wall clock offset, by node
}

type runningNode struct {
	*Node
	stop        func()
	fs          *vfs.FaultFS
	lastRequest uint64
}

func listen(t *testing.T, address string) (net.Listener, error) {
	t.Helper()
	return (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
}

func newTestCluster(t *testing.T, size int) *testCluster {
	t.Helper()
	c := &testCluster{
		t:            t,
		net:          faultproxy.New(1, size),
		nodes:        make([]*runningNode, size),
		clockOffsets: make([]time.Duration, size),
	}
	t.Cleanup(c.net.Close)
	for i := range size {
		key := ed25519.NewKeyFromSeed([]byte(strings.Repeat(string(rune('a'+i)), 32)))
		public, ok := key.Public().(ed25519.PublicKey)
		require.True(t, ok)
		listener, err := listen(t, "127.0.0.1:0")
		require.NoError(t, err)
		c.keys = append(c.keys, key)
		c.listeners = append(c.listeners, listener)
		c.addresses = append(c.addresses, listener.Addr().String())
		c.peers = append(c.peers, transport.Peer{Name: fmt.Sprint("r", i), PublicKey: public})
	}
	for i := range size {
		var proxies []string
		for j := range size {
			proxy, err := c.net.ForwardConnections(i, j, c.addresses[j])
			require.NoError(t, err)
			proxies = append(proxies, proxy)
		}
		c.proxies = append(c.proxies, proxies)
	}
	for i := range size {
		c.start(i, vfs.NewFaultFS(uint64(i+1)))
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.stop(i)
		}
	})
	return c
}

func (c *testCluster) start(i int, fs *vfs.FaultFS) {
	c.t.Helper()
	var peers []transport.Peer
	var names []string
	for j, peer := range c.peers {
		peer.Address = c.proxies[i][j]
		peers = append(peers, peer)
		names = append(names, peer.Name)
	}
	if c.listeners[i] == nil {
		var err error
		require.Eventually(c.t, func() bool { // the port may still be in use
			c.listeners[i], err = listen(c.t, c.addresses[i])
			return err == nil
		}, testTimeout, 10*time.Millisecond)
	}
	node, err := New(Config{
		Name:                c.peers[i].Name,
		Zone:                fmt.Sprint("z", i%3),
		ReplicaCount:        3,
		InitialMembers:      names,
		ReplaceAfterSeconds: 1.5,
		Transport:           &transport.Transport{Name: c.peers[i].Name, PrivateKey: c.keys[i], Peers: peers},
		Disk:                fs,
		Logger:              slog.New(slog.NewTextHandler(io.Discard, nil)),
		Clock:               func() time.Time { return time.Now().Add(c.clockOffsets[i]) },
	})
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	listener := c.listeners[i]
	go func() {
		_ = node.Run(ctx, listener)
		close(done)
	}()
	stop := func() {
		cancel()
		<-done
	}
	c.nodes[i] = &runningNode{Node: node, fs: fs, stop: stop}
}

// stop stops a node if it is running, and returns its disk. Unsynced data is not on the disk.
func (c *testCluster) stop(i int) *vfs.FaultFS {
	node := c.nodes[i]
	if node == nil {
		return nil
	}
	node.stop()
	c.nodes[i] = nil
	c.listeners[i] = nil
	return node.fs
}

// reserveCommand returns a command that reserves a key for a group.
func reserveCommand(requester string, number uint64, key, group string) statemachine.Command {
	return statemachine.Command{
		Op:              statemachine.OpReserve,
		Key:             key,
		Group:           group,
		LifetimeSeconds: 60,
		Requester:       requester,
		RequestNumber:   number,
	}
}

// reserve reserves a key through a node. It retries until it gets an answer.
func (c *testCluster) reserve(i int, key, group string) statemachine.Result {
	c.t.Helper()
	node := c.nodes[i]
	node.lastRequest++
	command := reserveCommand(c.peers[i].Name, node.lastRequest, key, group)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		outcome := <-node.Propose(command, time.Now().Add(2*time.Second))
		if outcome.Err == nil {
			return outcome.Result
		}
	}
	c.t.Fatalf("r%d: no answer for %s", i, key)
	return statemachine.Result{}
}

func (c *testCluster) report(i int) Report {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	report, err := c.nodes[i].Report(ctx)
	require.NoError(c.t, err)
	return report
}

// waitUntilHealthy waits until the first router reports that the loss of a zone is tolerated.
func (c *testCluster) waitUntilHealthy() {
	c.t.Helper()
	healthy := func() bool { return c.report(0).Health == HealthToleratesZoneLoss }
	require.Eventually(c.t, healthy, testTimeout, 50*time.Millisecond, "r0: %s", c.report(0).Health)
}

// TestReservationSurvivesLossOfRouter makes reservations through a router that is then lost
// together with its disk. Every other router must know them, and the shards must get replacement
// replicas.
func TestReservationSurvivesLossOfRouter(t *testing.T) {
	c := newTestCluster(t, 5)
	c.waitUntilHealthy()
	for k := range 20 {
		assert.True(t, c.reserve(1, fmt.Sprint("k", k), "g1").Granted)
	}
	lostAt := time.Now()
	c.stop(1) // the router is lost with its disk
	for k := range 20 {
		result := c.reserve([]int{0, 2, 3, 4}[k%4], fmt.Sprint("k", k), "g2")
		assert.False(t, result.Granted)
		assert.Equal(t, "g1", result.Reservation.Group)
	}
	t.Logf("20 reservations found %.1f s after the loss", time.Since(lostAt).Seconds())
	c.waitUntilHealthy() // replacement replicas have been added
	t.Logf("all replicas replaced %.1f s after the loss", time.Since(lostAt).Seconds())
	for _, shard := range c.report(0).Shards {
		assert.Len(t, shard.Replicas, 3)
		assert.NotContains(t, shard.Replicas, "r1")
	}
	c.start(1, vfs.NewFaultFS(99)) // a new machine with the old name
	require.Eventually(t, func() bool { return len(c.report(1).Shards) > 0 }, testTimeout, 50*time.Millisecond,
		"the new replicas are not added as members")
	t.Logf("replicas added %.1f s after the loss", time.Since(lostAt).Seconds())
	assert.False(t, c.reserve(1, "k3", "g2").Granted)
}

// TestMinorityGrantsNothing sends the same key to both sides of a network partition. Only one side
// may grant it, and the other side must know that after the partition has healed.
func TestMinorityGrantsNothing(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	cut := faults.Fault{Kind: faults.Cut, From: []int{0}, To: []int{1, 2}, BothWays: true}
	c.net.StartScript(faults.Script{Processes: 3, Duration: 1e6, Faults: []faults.Fault{cut}})
	minority := c.nodes[0].Propose(reserveCommand("r0", 1<<50, "k", "g1"), time.Now().Add(1500*time.Millisecond))
	assert.True(t, c.reserve(1, "k", "g2").Granted)
	require.ErrorIs(t, (<-minority).Err, ErrNoAnswer)
	c.net.StartScript(faults.Script{Processes: 3, Duration: 1e6})
	result := c.reserve(0, "k", "g3")
	assert.False(t, result.Granted)
	assert.Equal(t, "g2", result.Reservation.Group)
}

// TestReservationSurvivesRestartOfAllRouters stops all routers at the same time. An acknowledged
// reservation must still be known after their restart.
func TestReservationSurvivesRestartOfAllRouters(t *testing.T) {
	c := newTestCluster(t, 3)
	c.waitUntilHealthy()
	assert.True(t, c.reserve(0, "k", "g1").Granted)
	var disks []*vfs.FaultFS
	for i := range 3 {
		disks = append(disks, c.stop(i))
	}
	for i := range 3 {
		disks[i].Restart()
		c.start(i, disks[i])
	}
	assert.False(t, c.reserve(2, "k", "g2").Granted)
}

// idleNodeConfig returns the configuration of a node that is not run.
func idleNodeConfig(name string) Config {
	key := ed25519.NewKeyFromSeed([]byte(strings.Repeat("k", 32)))
	return Config{
		Name:         name,
		ReplicaCount: 3,
		Transport:    &transport.Transport{Name: name, PrivateKey: key},
		Disk:         vfs.NewFaultFS(1),
		Logger:       slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

// newIdleNode opens a node that is not run.
func newIdleNode(t *testing.T, name string) *Node {
	t.Helper()
	node, err := New(idleNodeConfig(name))
	require.NoError(t, err)
	return node
}

// TestStoppedNodeCompletesAllRequests stops a node while requests are in its queue, some accepted
// and some not, and submits another one afterwards. Each request must get an outcome; without one
// its caller would wait forever.
func TestStoppedNodeCompletesAllRequests(t *testing.T) {
	node := newIdleNode(t, "r0")
	listener, err := listen(t, "127.0.0.1:0")
	require.NoError(t, err)
	deadline := time.Now().Add(time.Hour)
	var outcomes []<-chan Outcome
	for i := range 500 {
		outcomes = append(outcomes, node.Propose(reserveCommand("r0", uint64(i+1), "k", "g"), deadline))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.NoError(t, node.Run(ctx, listener))
	outcomes = append(outcomes, node.Propose(reserveCommand("r0", 501, "k", "g"), deadline))
	for i, outcome := range outcomes {
		select {
		case got := <-outcome:
			require.Error(t, got.Err)
		case <-time.After(testTimeout):
			require.Fail(t, "no outcome", "request %d of %d", i, len(outcomes))
		}
	}
}

// TestReplicaOfLastHelloIsUpAfterReconnect covers a router whose disk was replaced, so that two
// replicas have its name, and which then disconnects and reconnects. If the last-seen times decided
// which replica is up, either one could count as up until the next hello frame. The replica of the
// last hello frame must be the one that is up.
func TestReplicaOfLastHelloIsUpAfterReconnect(t *testing.T) {
	for range 30 {
		node := newIdleNode(t, "r0")
		for _, replica := range []uint64{11, 12} {
			node.handleHello("r1", transport.Frame{Kind: transport.KindHello, Replica: replica, StartCount: 1})
		}
		node.handlePeerState("r1", false)
		node.handlePeerState("r1", true)
		assert.False(t, node.statuses[11].Up, "the replica of the first disk must be down")
		assert.True(t, node.statuses[12].Up)
	}
}

// TestCommandTimeIgnoresWallClockSteps steps the wall clock of a leading node forward or back, by
// up to an hour. If command times followed the wall clock, reservations would expire too early, or
// an hour too late. Command times must advance with the elapsed time.
func TestCommandTimeIgnoresWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second} {
		var offset time.Duration
		config := idleNodeConfig("r0")
		config.Clock = func() time.Time { return time.Now().Add(offset) }
		node, err := New(config)
		require.NoError(t, err)
		before := node.unixSeconds()
		offset = step
		assert.InDelta(t, before, node.unixSeconds(), 1)
		assert.InDelta(t, float64(time.Now().UnixMilli())/1000, before, 1)
	}
}
