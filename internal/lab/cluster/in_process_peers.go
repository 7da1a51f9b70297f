package cluster

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
	"cairnfront/internal/lab/timing"
	"cairnfront/internal/membership"
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/partition"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/telemetry"
)

const (
	peersFoundTimeout = 60 * time.Second
	peerKeyFileName   = "peer.key"
	peerMaxByzantine  = 1
)

// Rate limits of the peers in this process, high enough for a router with hundreds of peers.
var (
	peerReceiveLimits = ratelimit.Limits{
		TotalDatagrams:   2000,
		TotalBytes:       1.5e6,
		PerPeerDatagrams: 100,
		PerPeerBytes:     1e5,
	}
	peerSendLimits = ratelimit.Limits{
		TotalDatagrams:   400,
		TotalBytes:       2e5,
		PerPeerDatagrams: 50,
		PerPeerBytes:     5e4,
	}
)

// StartInProcessPeers starts peers in this process and writes the configuration file of a router that is a peer of
// them. The returned function stops the peers and waits for them.
func StartInProcessPeers(
	ctx context.Context, options Options, router *Router, peers int,
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
		running.Go(func() { _ = node.Run(peersCtx) }) // AwaitPeers fails if a peer does not run
	}
	return stop, nil
}

// makeRoster generates a key and reserves a port for each named peer. The ports stay bound until all peers have one, so
// that no port is assigned twice.
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
		defer func() { _ = conn.Close() }() // an error is harmless: the socket sent nothing
		entry := membership.RosterEntry{Name: name, Key: key, Address: conn.LocalAddr().String()}
		roster = append(roster, entry)
		seeds = append(seeds, seed)
	}
	return roster, seeds, nil
}

// writePeersFile writes the key file and the configuration file of a router, which is the last entry of the roster.
func writePeersFile(directory string, router *Router, roster []membership.RosterEntry, seed string) error {
	keyFile := filepath.Join(directory, peerKeyFileName)
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
	router.configFile = filepath.Join(directory, router.name+"-"+ConfigFileName)
	return WriteConfigFile(router.configFile, map[string]any{
		"router": map[string]any{"socket": filepath.Join(directory, adminSocketName)},
		"peers": map[string]any{
			"listen":   roster[len(roster)-1].Address,
			"key_file": keyFile,
			"roster":   entries,
		},
	})
}

// newInProcessPeer creates the peer of a roster entry.
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
			MaxByzantine:  peerMaxByzantine,
			ReceiveLimits: peerReceiveLimits,
			SendLimits:    peerSendLimits,
			Seed:          randomSeed,
		},
		telemetry.New(io.Discard, ""),
	)
}

// QueryMembership requests a router's membership view over its admin socket.
func QueryMembership(ctx context.Context, router *Router) (state membership.Report, err error) {
	file, err := config.Read(router.configFile)
	if err != nil {
		return state, err
	}
	data, err := admin.Call(ctx, file.Router.AdminSocket, "peers", nil)
	if err != nil {
		return state, err
	}
	return state, json.Unmarshal(data, &state)
}

// AwaitPeers waits until a router sees all its peers as present.
func AwaitPeers(ctx context.Context, router *Router, peers int) error {
	err := timing.WaitUntil(peersFoundTimeout, func() bool {
		state, _ := QueryMembership(ctx, router) // if the router does not answer yet, the next poll queries it again
		return state.PartitionState == partition.Complete.WireName()
	})
	if err == nil {
		return nil
	}
	state, _ := QueryMembership(ctx, router) // if the query fails, the message below contains zero values
	return fmt.Errorf(
		"router sees %d of %d peers, partition state %s: %w", state.Present, peers, state.PartitionState, err,
	)
}
