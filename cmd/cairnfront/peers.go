package main

import (
	"context"
	"encoding/json"
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

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// mostDoubts may wait for the decisions; one more is dropped, for a doubt runs out anyhow.
const mostDoubts = 256

// roster turns the operators' file's into the node's.
func roster(list []config.Peer) ([]membership.RosterEntry, error) {
	out := make([]membership.RosterEntry, len(list))
	for i, x := range list {
		key, err := datagram.ParsePublicKey(x.Key)
		if err != nil {
			return nil, fmt.Errorf("peers.roster.%d.key: %w", i, err)
		}
		out[i] = membership.RosterEntry{Name: x.Name, Key: key, Address: x.Address}
	}
	return out, nil
}

// join makes a router one of several, if the operators' file says so.
func join(ctx context.Context, g *errgroup.Group, p config.Membership, name string, seed uint64, loop *dispatch.Dispatcher, k *telemetry.Metrics) (*membership.Node, error) {
	if p.Listen == "" {
		return nil, nil
	}
	if p.Name != "" {
		name = p.Name
	}
	text, err := os.ReadFile(p.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("peers.key_file: %w", err)
	}
	if info, err := os.Stat(p.KeyFile); err == nil && info.Mode().Perm()&0o077 != 0 {
		return nil, fmt.Errorf("peers.key_file: %s may be read by others (mode %o): chmod 600", p.KeyFile, info.Mode().Perm())
	}
	key, err := datagram.ParsePrivateKey(strings.TrimSpace(string(text)))
	if err != nil {
		return nil, fmt.Errorf("peers.key_file: %s: %w", p.KeyFile, err)
	}
	list, err := roster(p.Roster)
	if err != nil {
		return nil, err
	}
	node, err := membership.New(membership.Config{Name: name, Zone: p.Zone, Listen: p.Listen, Advertise: p.Advertise, Key: key, Roster: list, MaxByzantine: p.FaultyPeers, Seed: seed,
		ReceiveLimits: ratelimit.Limits{TotalDatagrams: p.ReceiveDatagrams, TotalBytes: p.ReceiveKB * 1000, PerPeerDatagrams: p.ReceiveDatagramsPerPeer, PerPeerBytes: p.ReceiveKBPerPeer * 1000},
		SendLimits:    ratelimit.Limits{TotalDatagrams: p.SendDatagrams, TotalBytes: p.SendKB * 1000, PerPeerDatagrams: p.SendDatagramsPerPeer, PerPeerBytes: p.SendKBPerPeer * 1000}}, k)
	if err != nil {
		return nil, err
	}
	node.ProbeEventLoop = loop.ProbeLiveness
	loop.OnAttemptEnd = func(r dispatch.AttemptReport) {
		objectiveSeconds := loop.Settings.Float(routing.ClassSetting(r.Class, "sla_s"), 1)
		if says, ok := observation.Classify(r.Result, r.ElapsedSeconds > objectiveSeconds); ok {
			node.ReportAttempt(r.Endpoint, says)
		}
	}
	doubts := make(chan routing.HealthObservation, mostDoubts) // the loop may be slow; the node must not wait for it
	node.OnDoubt = func(member routing.EndpointID, doubt, s float64) {
		select {
		case doubts <- routing.HealthObservation{Endpoint: member, Suspicion: doubt, ValidSeconds: s}:
		default:
			k.Inc(telemetry.PeerDoubtsDropped)
		}
	}
	g.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case d := <-doubts:
				loop.HealthObserved(d)
			}
		}
	})
	g.Go(func() error { return node.Run(ctx) })
	k.Log.Info("peers", "code", "joining", "name", name, "listen", node.Addr(), "roster", len(list))
	return node, nil
}

// rejoin follows a roster read anew.
func rejoin(ctx context.Context, node *membership.Node, p config.Membership, k *telemetry.Metrics) error {
	if (node == nil) != (p.Listen == "") {
		return errors.New("peers.listen: peers can't be taken up or given up while the router runs")
	}
	if node == nil {
		return nil
	}
	list, err := roster(p.Roster)
	if err == nil {
		err = node.UpdateRoster(ctx, list)
	}
	if err == nil {
		k.Log.Info("reload", "code", "roster", "entries", len(list))
	}
	return err
}

func peerHandlers(node *membership.Node) map[string]admin.Handler {
	off := errors.New("this router knows no peers: peers.listen is empty in its operators' file")
	return map[string]admin.Handler{
		"peers": func(ctx context.Context, _ map[string]string) (any, error) {
			if node == nil {
				return nil, off
			}
			return node.Report(ctx)
		},
		"peers-leave": func(ctx context.Context, _ map[string]string) (any, error) {
			if node == nil {
				return nil, off
			}
			return "done", node.Leave(ctx)
		},
	}
}

func peersCommand() *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{Use: "peers", Short: "How a running router stands among its peers, and what it holds of each", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := admin.Call(socket, "peers", nil)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), string(data))
				return err
			}
			var r membership.Report
			if err := json.Unmarshal(data, &r); err != nil {
				return err
			}
			tell(cmd, r)
			return nil
		}}
	c.PersistentFlags().StringVar(&socket, "socket", os.Getenv("CAIRNFRONT_SOCKET"), "the operators' socket (CAIRNFRONT_SOCKET)")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.AddCommand(&cobra.Command{Use: "leave", Short: "Say goodbye to the peers; the router goes on serving alone until its next start", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := admin.Call(socket, "peers-leave", nil)
			return err
		}}, &cobra.Command{Use: "key FILE", Short: "Make a private key in a new file and print its public half for the roster", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			seed, public, err := datagram.GenerateKey()
			if err != nil {
				return err
			}
			f, err := os.OpenFile(args[0], os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
			if err != nil {
				return fmt.Errorf("a new key file: %w", err)
			}
			_, err = fmt.Fprintln(f, seed)
			if err = errors.Join(err, f.Close()); err != nil {
				return fmt.Errorf("a new key file: %w", err)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), public)
			return err
		}})
	return c
}

// tell prints a report for a person.
func tell(cmd *cobra.Command, r membership.Report) {
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "%s: %s for %.0f s, epoch %d; %d of %d there, own health %d of 8 lost\n", r.Name, r.PartitionState, r.SinceSeconds, r.Epoch, r.Present, r.Roster, r.Health)
	up := max(r.UptimeSeconds, 1)
	fmt.Fprintf(out, "in %.0f bytes/s in %.1f datagrams/s, out %.0f in %.1f, %d held back; %d drops, p50 %.1f s, p99 %.1f s\n", float64(r.InBytes)/up,
		float64(r.InDatagrams)/up, float64(r.OutBytes)/up, float64(r.OutDatagrams)/up, r.SendsDropped, r.Detections, r.DetectionP50Seconds, r.DetectionP99Seconds)
	if r.Silent {
		fmt.Fprintln(out, "SILENT: a newer process has this router's name")
	}
	for _, p := range r.Members {
		fmt.Fprintf(out, "%-16s %-8s for %6.0f s  zone %-10s %-21s life %d.%d", p.Name, p.State, p.SinceSeconds, p.Zone, p.Address, p.StartMillis, p.Refutations)
		if len(p.Accusers) > 0 || p.FailedProbes > 0 {
			fmt.Fprintf(out, "  own failed looks %d, charged by %s", p.FailedProbes, strings.Join(p.Accusers, " "))
		}
		if p.RefutedAccusations+p.ConfirmedAccusations >= 0.5 {
			fmt.Fprintf(out, "  its charges: %.1f right, %.1f wrong", p.ConfirmedAccusations, p.RefutedAccusations)
		}
		if p.ConfirmedObservations+p.RefutedObservations >= 0.5 {
			fmt.Fprintf(out, "  its words on members: %.1f right, %.1f wrong", p.ConfirmedObservations, p.RefutedObservations)
		}
		if p.Silenced || !p.Trusted {
			fmt.Fprint(out, "  NOT LISTENED TO")
		}
		if p.ViewDiffers {
			fmt.Fprint(out, "  sees others than we do")
		}
		fmt.Fprintln(out)
	}
	for _, d := range r.Doubts {
		fmt.Fprintf(out, "member %-12s doubt %.2f: %s\n", d.Endpoint, d.Level, strings.Join(d.Witnesses, ", "))
	}
}
