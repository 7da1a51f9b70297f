package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
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
	"cairnfront/routing"
)

// Sizes and bounds of the scenario.
const (
	costPeersFull, costPeersSmall = 299, 39
	maxExtraCores                 = 0.05 // of a core more than without peers, idle
	maxExtraMB                    = 12.0 // more than without peers, under load
)

var peersCostScenario = Scenario{
	Name:        "peers-cost",
	Description: "What peers cost a router: CPU and memory with hundreds of them and with none, idle and under load",
	Run: func(ctx context.Context, options Options, r *report.Report) error {
		n, lasts := costPeersSmall, 4*time.Second
		if options.Full {
			n, lasts = costPeersFull, 20*time.Second
		}
		cluster, err := newTestCluster(options, 1)
		if err != nil {
			return err
		}
		defer func() { cluster.close(r) }()
		for _, at := range [][2]int{{2, 0}, {1, 0}, {0, 1}, {0, 1}} {
			if _, err := cluster.addEndpoint(at[0], at[1]); err != nil {
				return err
			}
		}
		for _, endpoint := range cluster.endpoints {
			if err := cluster.startInProcess(endpoint); err != nil {
				return err
			}
			cluster.publishStatus(endpoint, routing.Ready)
		}
		with, err := cluster.prepareRouter(1)
		if err != nil {
			return err
		}
		without, err := cluster.prepareRouter(1)
		if err != nil {
			return err
		}
		stop, err := startInProcessPeers(ctx, options, with, n)
		if err != nil {
			return err
		}
		defer stop()
		for _, router := range []*routerProcess{with, without} {
			if err := cluster.startRouter(router); err != nil {
				return err
			}
		}
		if err := waitUntil(60*time.Second, func() bool {
			rep, _ := queryMembership(with)
			return rep.PartitionState == "whole"
		}); err != nil {
			rep, _ := queryMembership(with)
			return fmt.Errorf(
				"the router does not find its %d peers: %w; it is %s and sees %d",
				n,
				err,
				rep.PartitionState,
				rep.Present,
			)
		}
		var crowds []*clientGroup
		for _, loaded := range []bool{false, true} {
			name := "idle"
			play, end := context.WithCancel(ctx)
			var all sync.WaitGroup
			if loaded {
				name = "loaded"
				for _, router := range []*routerProcess{with, without} {
					group := &clientGroup{
						addr:       router.addr,
						clients:    8,
						seed:       options.Seed,
						objects:    60,
						parts:      6,
						groups:     cluster.content.Groups,
						meanPause:  20 * time.Millisecond,
						onResponse: cluster.recordResponse,
					}
					crowds = append(crowds, group)
					all.Go(func() { group.run(play) })
				}
			}
			if err := sleep(ctx, 2*time.Second); err != nil {
				end()
				return err
			}
			cpu0, _ := with.usage()
			bare0, _ := without.usage()
			err := sleep(ctx, lasts)
			cpu1, rss := with.usage()
			bare1, bareRSS := without.usage()
			end()
			all.Wait()
			if err != nil {
				return err
			}
			r.Figures["cores_with."+name] = (cpu1 - cpu0) / lasts.Seconds()
			r.Figures["cores_without."+name] = (bare1 - bare0) / lasts.Seconds()
			r.Figures["mb_with."+name], r.Figures["mb_without."+name] = rss, bareRSS
		}
		cluster.verify(r, crowds)
		rep, _ := queryMembership(with)
		r.Counts["peers"], r.Counts["there"] = int64(n), int64(rep.Present)
		r.Figures["bytes_s_out"] = float64(rep.OutBytes) / rep.UptimeSeconds
		r.Figures["bytes_s_in"] = float64(rep.InBytes) / rep.UptimeSeconds
		if more := r.Figures["cores_with.idle"] - r.Figures["cores_without.idle"]; more > maxExtraCores {
			r.Broke("%.3f of a core for %d peers, idle", more, n)
		}
		// Idle the one without peers makes no garbage at all, the other fills the 16 MB before the first collection (4 MB
		// times
		// GCPercent): only under load do both have that.
		if more := r.Figures["mb_with.loaded"] - r.Figures["mb_without.loaded"]; more > maxExtraMB {
			r.Broke("%.1f MB for %d peers, under load", more, n)
		}
		r.Steps = append(
			r.Steps,
			fmt.Sprintf(
				"a router with %d peers (the product's node, all in the laboratory's process) and one without, "+
					"side by side on loopback; %v idle, then under the same load",
				n,
				lasts,
			),
		)
		return nil
	},
}

// startInProcessPeers starts so many nodes in this process and writes the operators' file of a router among them.
func startInProcessPeers(ctx context.Context, options Options, router *routerProcess, n int) (stop func(), err error) {
	var roster []membership.RosterEntry
	var seeds []string
	var entries []map[string]string
	var conns []*net.UDPConn
	for i := range n + 1 {
		seed, pub, err := datagram.GenerateKey()
		if err != nil {
			return nil, err
		}
		c, err := listenReusableUDP()
		if err != nil {
			return nil, err
		}
		defer c.Close() // held until all have theirs
		conns = append(conns, c)
		key, _ := datagram.ParsePublicKey(pub)
		name := fmt.Sprintf("peer-%d", i)
		if i == n {
			name = router.name
		}
		roster = append(roster, membership.RosterEntry{Name: name, Key: key, Address: c.LocalAddr().String()})
		seeds = append(seeds, seed)
		entries = append(entries, map[string]string{"name": name, "key": pub, "address": c.LocalAddr().String()})
	}
	for _, c := range conns {
		_ = c.Close()
	}
	keyFile, door := filepath.Join(options.Directory, "peer.key"), filepath.Join(options.Directory, "door")
	text, err := json.Marshal(map[string]any{
		"router": map[string]any{"socket": door},
		"peers":  map[string]any{"listen": roster[n].Address, "key_file": keyFile, "roster": entries},
	})
	if err != nil {
		return nil, err
	}
	router.operatorsFile = filepath.Join(options.Directory, router.name+"-operators.yaml")
	if err := os.WriteFile(router.operatorsFile, text, 0o600); err != nil {
		return nil, err
	}
	if err := os.WriteFile(keyFile, []byte(seeds[n]), 0o600); err != nil {
		return nil, err
	}
	in := ratelimit.Limits{
		TotalDatagrams:   2000,
		TotalBytes:       1.5e6,
		PerPeerDatagrams: 100,
		PerPeerBytes:     1e5,
	}
	out := ratelimit.Limits{
		TotalDatagrams:   400,
		TotalBytes:       2e5,
		PerPeerDatagrams: 50,
		PerPeerBytes:     5e4,
	}
	play, end := context.WithCancel(ctx)
	var all sync.WaitGroup
	stop = func() { end(); all.Wait() }
	for i := range n {
		key, err := datagram.ParsePrivateKey(seeds[i])
		if err != nil {
			stop()
			return nil, err
		}
		node, err := membership.New(membership.Config{
			Name:          roster[i].Name,
			Listen:        roster[i].Address,
			Key:           key,
			Roster:        roster,
			MaxByzantine:  1,
			ReceiveLimits: in,
			SendLimits:    out,
			Seed:          options.Seed + uint64(i),
		},
			telemetry.New(io.Discard, ""))
		if err != nil {
			stop()
			return nil, err
		}
		all.Go(func() { _ = node.Run(play) })
	}
	return stop, nil
}

// queryMembership asks a router at its operators' socket how it stands.
func queryMembership(router *routerProcess) (rep membership.Report, err error) {
	book, err := config.Read(router.operatorsFile)
	if err != nil {
		return rep, err
	}
	data, err := admin.Call(book.Router.AdminSocket, "peers", nil)
	if err != nil {
		return rep, err
	}
	return rep, json.Unmarshal(data, &rep)
}
