package main

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"os"
	"strings"

	"cairnfront/internal/admin"
	"cairnfront/internal/config"
	"cairnfront/internal/dispatch"
	"cairnfront/internal/membership"
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

const (
	// maxQueuedObservations is the number of health observations that may be queued for the event loop. Further ones
	// are dropped, as a late observation would expire soon.
	maxQueuedObservations = 256
	// bytesPerKB converts rate limits of the configuration file from KB to bytes.
	bytesPerKB = 1000
	// groupAndOtherPermissions is a mask of the permissions that a private key file must not have.
	groupAndOtherPermissions = 0o077
)

// Errors of membership commands and reloads.
var (
	errKeyExposed        = errors.New("other users may read the private key")
	errNoMembership      = errors.New("this router has no peers: peers.listen is empty in its configuration file")
	errMembershipToggled = errors.New("peers.listen: membership can't be switched on or off while the router runs")
)

// joinPeers starts a membership node if the configuration file sets its listening address, and returns nil otherwise.
// The node's goroutine runs in the group until the context is cancelled.
func (r *router) joinPeers(ctx context.Context, g *errgroup.Group, c config.Membership) (*membership.Node, error) {
	if c.Listen == "" {
		return nil, nil
	}
	name := r.config.Name
	if c.Name != "" {
		name = c.Name
	}
	key, err := readPrivateKey(c.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peers.key_file: %w", err)
	}
	roster, err := parseRoster(c.Roster)
	if err != nil {
		return nil, err
	}
	node, err := membership.New(membership.Config{
		Name:          name,
		Zone:          c.Zone,
		Listen:        c.Listen,
		Advertise:     c.Advertise,
		Key:           key,
		Roster:        roster,
		MaxByzantine:  c.FaultyPeers,
		Seed:          r.config.Seed,
		ReceiveLimits: receiveLimits(c),
		SendLimits:    sendLimits(c),
	}, r.metrics)
	if err != nil {
		return nil, err
	}
	r.connectMembership(ctx, g, node)
	g.Go(func() error { return node.Run(ctx) })
	r.metrics.Log.Info("joining peers", "peer", name, "address", node.Addr(), "roster", len(roster))
	return node, nil
}

// receiveLimits returns the rate limits of received datagrams.
func receiveLimits(c config.Membership) ratelimit.Limits {
	return ratelimit.Limits{
		TotalDatagrams:   c.ReceiveDatagrams,
		TotalBytes:       c.ReceiveKB * bytesPerKB,
		PerPeerDatagrams: c.ReceiveDatagramsPerPeer,
		PerPeerBytes:     c.ReceiveKBPerPeer * bytesPerKB,
	}
}

// sendLimits returns the rate limits of sent datagrams.
func sendLimits(c config.Membership) ratelimit.Limits {
	return ratelimit.Limits{
		TotalDatagrams:   c.SendDatagrams,
		TotalBytes:       c.SendKB * bytesPerKB,
		PerPeerDatagrams: c.SendDatagramsPerPeer,
		PerPeerBytes:     c.SendKBPerPeer * bytesPerKB,
	}
}

// connectMembership connects the node and the event loop, so that they exchange observations of endpoints' health.
// Neither blocks the other: observations pass through a bounded queue. The goroutine that reads the queue runs in the
// group until the context is cancelled.
func (r *router) connectMembership(ctx context.Context, g *errgroup.Group, node *membership.Node) {
	node.ProbeEventLoop = r.dispatcher.ProbeLiveness
	settings := r.config.Settings
	r.dispatcher.OnAttemptEnd = func(a dispatch.AttemptReport) {
		objectiveSeconds := settings.Float(routing.ClassSetting(a.Class, routing.ClassLatencyObjective), 1)
		if observed, ok := observation.Classify(a.Result, a.ElapsedSeconds > objectiveSeconds); ok {
			node.ReportAttempt(a.Endpoint, observed)
		}
	}
	observations := make(chan routing.HealthObservation, maxQueuedObservations)
	node.OnDoubt = func(endpoint routing.EndpointID, suspicion, validSeconds float64) {
		o := routing.HealthObservation{Endpoint: endpoint, Suspicion: suspicion, ValidSeconds: validSeconds}
		select {
		case observations <- o:
		default:
			r.metrics.Inc(telemetry.PeerDoubtsDropped)
		}
	}
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case o := <-observations:
				r.dispatcher.HealthObserved(o)
			}
		}
	})
}

// readPrivateKey reads a private key from a file. It returns an error if other users have access to the file.
func readPrivateKey(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	info, err := os.Stat(path)
	if err == nil && info.Mode().Perm()&groupAndOtherPermissions != 0 {
		return nil, fmt.Errorf("%s: %w: mode is %o, chmod 600", path, errKeyExposed, info.Mode().Perm())
	}
	key, err := datagram.ParsePrivateKey(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return key, nil
}

// parseRoster converts the roster of the configuration file and parses its public keys.
func parseRoster(peers []config.Peer) ([]membership.RosterEntry, error) {
	roster := make([]membership.RosterEntry, len(peers))
	for i, peer := range peers {
		key, err := datagram.ParsePublicKey(peer.Key)
		if err != nil {
			return nil, fmt.Errorf("peers.roster.%d.key: %w", i, err)
		}
		roster[i] = membership.RosterEntry{Name: peer.Name, Key: key, Address: peer.Address}
	}
	return roster, nil
}

// reloadRoster applies the roster of a reloaded file. It returns an error if the file switches membership on or off, as
// that requires a restart.
func (e *extensions) reloadRoster(ctx context.Context, c config.Membership) error {
	if (e.node == nil) != (c.Listen == "") {
		return errMembershipToggled
	}
	if e.node == nil {
		return nil
	}
	roster, err := parseRoster(c.Roster)
	if err != nil {
		return err
	}
	if err := e.node.UpdateRoster(ctx, roster); err != nil {
		return err
	}
	e.metrics.Log.Info("roster reloaded", "entries", len(roster))
	return nil
}

// peerHandlers returns the handlers of the admin socket's requests about peers. The node is nil if membership is off.
func peerHandlers(node *membership.Node) map[admin.RequestName]admin.Handler {
	return map[admin.RequestName]admin.Handler{
		admin.ShowPeers: func(ctx context.Context, _ map[string]string) (any, error) {
			if node == nil {
				return nil, errNoMembership
			}
			return node.Report(ctx)
		},
		admin.LeavePeers: func(ctx context.Context, _ map[string]string) (any, error) {
			if node == nil {
				return nil, errNoMembership
			}
			return "done", node.Leave(ctx)
		},
	}
}
