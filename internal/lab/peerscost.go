package lab

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cairnfront/internal/admin"
	"cairnfront/internal/config"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/membership"
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/telemetry"
)

// Sizes and bounds of the scenario.
const (
	costPeersSmall      = 39
	costPeersFull       = 299
	costClients         = 8    // of each router under load
	maxExtraCores       = 0.05 // of a core more than without peers, idle
	maxExtraMB          = 12.0 // more than without peers, under load
	peersFoundTimeout   = 60 * time.Second
	costSettlePause     = 2 * time.Second // after the load changes, before usage is measured
	costSocketName      = "door"
	costMaxByzantine    = 1
	costPeerKeyFileName = "peer.key"
)

// Rate limits of the peers in this process. They let a router hear from hundreds of them.
var (
	costReceiveLimits = ratelimit.Limits{
		TotalDatagrams:   2000,
		TotalBytes:       1.5e6,
		PerPeerDatagrams: 100,
		PerPeerBytes:     1e5,
	}
	costSendLimits = ratelimit.Limits{
		TotalDatagrams:   400,
		TotalBytes:       2e5,
		PerPeerDatagrams: 50,
		PerPeerBytes:     5e4,
	}
)

var peersCostScenario = Scenario{
	Name:        "peers-cost",
	Description: "What peers cost a router: CPU and memory with hundreds of them and with none, idle and under load",
	Run:         runPeersCost,
}

// costRouters are the two routers that are compared.
type costRouters struct {
	with    *routerProcess
	without *routerProcess
}

func runPeersCost(ctx context.Context, options Options, r *report.Report) error {
	peers, duration := costPeersSmall, 4*time.Second
	if options.Full {
		peers, duration = costPeersFull, 20*time.Second
	}
	cluster, err := newTestCluster(options, 1)
	if err != nil {
		return err
	}
	defer cluster.close(r)
	if err := cluster.startOneZone(); err != nil {
		return err
	}
	var routers costRouters
	if routers.with, err = cluster.prepareRouter(1); err != nil {
		return err
	}
	if routers.without, err = cluster.prepareRouter(1); err != nil {
		return err
	}
	stop, err := startInProcessPeers(ctx, options, routers.with, peers)
	if err != nil {
		return err
	}
	defer stop()
	for _, router := range []*routerProcess{routers.with, routers.without} {
		if err := cluster.startRouter(router); err != nil {
			return err
		}
	}
	if err := awaitPeers(routers.with, peers); err != nil {
		return err
	}
	groups := []*clientGroup{
		cluster.newClientGroup(routers.with, costClients, 20*time.Millisecond),
		cluster.newClientGroup(routers.without, costClients, 20*time.Millisecond),
	}
	if err := routers.measure(ctx, r, "idle", duration, nil); err != nil {
		return err
	}
	if err := routers.measure(ctx, r, "loaded", duration, groups); err != nil {
		return err
	}
	cluster.verify(r, groups)
	routers.addTraffic(r, peers)
	peersCheap(r, peers)
	r.Steps = append(
		r.Steps,
		fmt.Sprintf(
			"a router with %d peers (the product's node, all in the laboratory's process) and one without, "+
				"side by side on loopback; %v idle, then under the same load",
			peers,
			duration,
		),
	)
	return nil
}

// awaitPeers waits until a router sees all its peers.
func awaitPeers(router *routerProcess, peers int) error {
	err := waitUntil(peersFoundTimeout, func() bool {
		state, _ := queryMembership(router)
		return state.PartitionState == partitionWhole
	})
	if err == nil {
		return nil
	}
	state, _ := queryMembership(router)
	return fmt.Errorf(
		"the router does not find its %d peers: %w; it is %s and sees %d",
		peers,
		err,
		state.PartitionState,
		state.Present,
	)
}

// measure reports what the routers use under a load.
func (c *costRouters) measure(
	ctx context.Context, r *report.Report, name string, duration time.Duration, load []*clientGroup,
) error {
	stop := startLoad(ctx, load...)
	defer stop()
	if err := sleep(ctx, costSettlePause); err != nil {
		return err
	}
	withBefore, _ := c.with.usage()
	withoutBefore, _ := c.without.usage()
	if err := sleep(ctx, duration); err != nil {
		return err
	}
	withAfter, withMB := c.with.usage()
	withoutAfter, withoutMB := c.without.usage()
	r.Figures["cores_with."+name] = (withAfter - withBefore) / duration.Seconds()
	r.Figures["cores_without."+name] = (withoutAfter - withoutBefore) / duration.Seconds()
	r.Figures["mb_with."+name] = withMB
	r.Figures["mb_without."+name] = withoutMB
	return nil
}

// addTraffic reports what the router says of its peers.
func (c *costRouters) addTraffic(r *report.Report, peers int) {
	state, _ := queryMembership(c.with)
	r.Counts["peers"] = int64(peers)
	r.Counts["there"] = int64(state.Present)
	r.Figures["bytes_s_out"] = float64(state.OutBytes) / state.UptimeSeconds
	r.Figures["bytes_s_in"] = float64(state.InBytes) / state.UptimeSeconds
}

// peersCheap checks what peers cost. Memory is compared under load alone: idle, the router without peers makes no
// garbage, while the other fills the 16 MB before the first collection (4 MB times GCPercent).
func peersCheap(r *report.Report, peers int) {
	if cores := r.Figures["cores_with.idle"] - r.Figures["cores_without.idle"]; cores > maxExtraCores {
		r.Broke("%.3f of a core for %d peers, idle", cores, peers)
	}
	if megabytes := r.Figures["mb_with.loaded"] - r.Figures["mb_without.loaded"]; megabytes > maxExtraMB {
		r.Broke("%.1f MB for %d peers, under load", megabytes, peers)
	}
}

// startInProcessPeers starts peers in this process and writes the operators' file of a router among them. The
// function that it returns ends them and waits.
func startInProcessPeers(
	ctx context.Context, options Options, router *routerProcess, peers int,
) (stop func(), err error) {
	names := make([]string, 0, peers+1)
	for i := range peers {
		names = append(names, fmt.Sprintf("peer-%d", i))
	}
	roster, seeds, err := makeRoster(append(names, router.name))
	if err != nil {
		return nil, err
	}
	if err := writePeersFile(options.Directory, router, roster, seeds[peers]); err != nil {
		return nil, err
	}
	peersCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	for i := range peers {
		node, err := newInProcessPeer(roster, i, seeds[i], options.Seed+uint64(i))
		if err != nil {
			stop()
			return nil, err
		}
		running.Go(func() { _ = node.Run(peersCtx) })
	}
	return stop, nil
}

// makeRoster makes keys and ports of peers with names. The ports are held until all have theirs.
func makeRoster(names []string) (roster []membership.RosterEntry, seeds []string, err error) {
	for _, name := range names {
		seed, publicKey, err := datagram.GenerateKey()
		if err != nil {
			return nil, nil, err
		}
		key, err := datagram.ParsePublicKey(publicKey)
		if err != nil {
			return nil, nil, err
		}
		conn, err := listenReusableUDP()
		if err != nil {
			return nil, nil, err
		}
		defer func() { _ = conn.Close() }()
		entry := membership.RosterEntry{Name: name, Key: key, Address: conn.LocalAddr().String()}
		roster = append(roster, entry)
		seeds = append(seeds, seed)
	}
	return roster, seeds, nil
}

// writePeersFile writes the key and the operators' file of a router, which is the roster's last entry.
func writePeersFile(directory string, router *routerProcess, roster []membership.RosterEntry, seed string) error {
	keyFile := filepath.Join(directory, costPeerKeyFileName)
	if err := os.WriteFile(keyFile, []byte(seed), 0o600); err != nil {
		return err
	}
	var entries []map[string]string
	for _, entry := range roster {
		entries = append(entries, map[string]string{
			"name":    entry.Name,
			"key":     base64.StdEncoding.EncodeToString(entry.Key),
			"address": entry.Address,
		})
	}
	router.operatorsFile = filepath.Join(directory, router.name+"-operators.yaml")
	return writeOperatorsFile(router.operatorsFile, map[string]any{
		"router": map[string]any{"socket": filepath.Join(directory, costSocketName)},
		"peers": map[string]any{
			"listen":   roster[len(roster)-1].Address,
			"key_file": keyFile,
			"roster":   entries,
		},
	})
}

// newInProcessPeer makes the peer of an entry of the roster.
func newInProcessPeer(
	roster []membership.RosterEntry, index int, seed string, randomSeed uint64,
) (*membership.Node, error) {
	key, err := datagram.ParsePrivateKey(seed)
	if err != nil {
		return nil, err
	}
	return membership.New(
		membership.Config{
			Name:          roster[index].Name,
			Listen:        roster[index].Address,
			Key:           key,
			Roster:        roster,
			MaxByzantine:  costMaxByzantine,
			ReceiveLimits: costReceiveLimits,
			SendLimits:    costSendLimits,
			Seed:          randomSeed,
		},
		telemetry.New(io.Discard, ""),
	)
}

// queryMembership asks a router on its admin socket for its view of the peers.
func queryMembership(router *routerProcess) (state membership.Report, err error) {
	file, err := config.Read(router.operatorsFile)
	if err != nil {
		return state, err
	}
	data, err := admin.Call(file.Router.AdminSocket, "peers", nil)
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(data, &state)
}
