package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"cairnfront/internal/admin"
	"cairnfront/internal/membership"
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/partition"

	"github.com/spf13/cobra"
)

const (
	// minShownEvidence is the smallest sum of the decayed counts of a peer's confirmed and refuted statements that is
	// printed.
	minShownEvidence = 0.5
	// privateKeyMode is the file mode of a new private key file.
	privateKeyMode = 0o600
)

const peersHelp = `Show the membership view of a running router.

The first line has its partition state, the epoch (which counts changes of the state), how many routers of the roster
are present, and its local health score: 0 is healthy; with each point it suspects others more slowly, as the fault may
be its own.
Then its traffic and detection times, a line for each peer, and the endpoints whose health it doubts from what peers
observed.

Partition states:
  complete      every router of the roster is present
  majority      more than half are present
  disagreeing   too many peers have another view of who is present
  minority      half or fewer are present
  alone         no other router is present`

func peersCommand() *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{
		Use:   "peers",
		Short: "Show the membership view of a running router",
		Long:  peersHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := callAdmin(cmd.Context(), socket, admin.ShowPeers, nil)
			if err != nil {
				return err
			}
			if asJSON {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), string(data))
				return err
			}
			var report membership.Report
			if err := json.Unmarshal(data, &report); err != nil {
				return err
			}
			printReport(cmd, report)
			return nil
		},
	}
	addSocketFlag(c, &socket)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	c.AddCommand(peersLeaveCommand(&socket), peersKeyCommand())
	return c
}

func peersLeaveCommand(socket *string) *cobra.Command {
	return &cobra.Command{
		Use:   "leave",
		Short: "Leave the membership; the router goes on serving, without peers until its next start",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := callAdmin(cmd.Context(), *socket, admin.LeavePeers, nil)
			return err
		},
	}
}

func peersKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key FILE",
		Short: "Write a new private key to a file that doesn't exist yet and print its public key for the roster",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			seed, public, err := datagram.GenerateKey()
			if err != nil {
				return err
			}
			if err := writeNewFile(args[0], seed+"\n"); err != nil {
				return fmt.Errorf("write key file: %w", err)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), public)
			return err
		},
	}
}

// writeNewFile creates a file with privateKeyMode and writes text to it. It returns an error if the file exists.
func writeNewFile(path, text string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, privateKeyMode)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	return errors.Join(err, f.Close())
}

// printReport prints a membership report as text.
func printReport(cmd *cobra.Command, r membership.Report) {
	printf(cmd, "%s: partition state %s for %.0f s, epoch %d; %d of %d routers present, "+
		"local health score %d of 8 (0 is healthy)\n",
		r.Name, partitionStateText(r.PartitionState), r.SinceSeconds, r.Epoch, r.Present, r.Roster, r.Health)
	uptime := max(r.UptimeSeconds, 1)
	printf(cmd, "received %.0f bytes/s, %.1f datagrams/s; sent %.0f bytes/s, %.1f datagrams/s, "+
		"%d not sent (rate limit); %d failures detected, p50 %.1f s, p99 %.1f s\n",
		float64(r.InBytes)/uptime, float64(r.InDatagrams)/uptime,
		float64(r.OutBytes)/uptime, float64(r.OutDatagrams)/uptime,
		r.SendsDropped, r.Detections, r.DetectionP50Seconds, r.DetectionP99Seconds)
	if r.Silent {
		printf(cmd, "SILENT: a newer process uses this router's name\n")
	}
	for _, m := range r.Members {
		printMember(cmd, m)
	}
	for _, d := range r.Doubts {
		printf(cmd, "endpoint %-12s doubt %.2f: %s\n", d.Endpoint, d.Level, strings.Join(d.Witnesses, ", "))
	}
}

// partitionStateText returns the printed term for the wire name of a partition state, or the name itself if it is
// unknown.
func partitionStateText(wireName string) string {
	if state, ok := partition.ParseWireName(wireName); ok {
		return state.String()
	}
	return wireName
}

// printMember prints the line of one peer: its state, then accusations against it and its reputation.
func printMember(cmd *cobra.Command, m membership.MemberReport) {
	printf(cmd, "%-16s %-8s for %6.0f s  zone %-10s %-21s incarnation %d.%d",
		m.Name, m.State, m.SinceSeconds, m.Zone, m.Address, m.StartMillis, m.Refutations)
	if len(m.Accusers) > 0 || m.FailedProbes > 0 {
		printf(cmd, "  failed probes %d, accused by %s", m.FailedProbes, strings.Join(m.Accusers, " "))
	}
	if m.RefutedAccusations+m.ConfirmedAccusations >= minShownEvidence {
		printf(cmd, "  its accusations: %.1f confirmed, %.1f refuted", m.ConfirmedAccusations, m.RefutedAccusations)
	}
	if m.ConfirmedObservations+m.RefutedObservations >= minShownEvidence {
		printf(cmd, "  its endpoint observations: %.1f confirmed, %.1f refuted",
			m.ConfirmedObservations, m.RefutedObservations)
	}
	if m.Silenced || !m.Trusted {
		printf(cmd, "  UNTRUSTED")
	}
	if m.ViewDiffers {
		printf(cmd, "  view differs")
	}
	printf(cmd, "\n")
}
