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

	"github.com/spf13/cobra"
)

const (
	// minShownEvidence is the decayed count of a peer's statements from which on it is printed how they turned out.
	minShownEvidence = 0.5
	// privateKeyMode is the mode of a new private key's file.
	privateKeyMode = 0o600
)

func peersCommand() *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{
		Use:   "peers",
		Short: "How a running router stands among its peers, and what it holds of each",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := admin.Call(socket, "peers", nil)
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
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.AddCommand(peersLeaveCommand(&socket), peersKeyCommand())
	return c
}

func peersLeaveCommand(socket *string) *cobra.Command {
	return &cobra.Command{
		Use:   "leave",
		Short: "Say goodbye to the peers; the router goes on serving alone until its next start",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := admin.Call(*socket, "peers-leave", nil)
			return err
		},
	}
}

func peersKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key FILE",
		Short: "Make a private key in a new file and print its public half for the roster",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			seed, public, err := datagram.GenerateKey()
			if err != nil {
				return err
			}
			if err := writeNewFile(args[0], seed+"\n"); err != nil {
				return fmt.Errorf("a new key file: %w", err)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), public)
			return err
		},
	}
}

// writeNewFile writes a private file that must not be there yet.
func writeNewFile(path, text string) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, privateKeyMode)
	if err != nil {
		return err
	}
	_, err = f.WriteString(text)
	return errors.Join(err, f.Close())
}

// printReport prints a report for a person to read.
func printReport(cmd *cobra.Command, r membership.Report) {
	printf(cmd, "%s: %s for %.0f s, epoch %d; %d of %d there, own health %d of 8 lost\n",
		r.Name, r.PartitionState, r.SinceSeconds, r.Epoch, r.Present, r.Roster, r.Health)
	uptime := max(r.UptimeSeconds, 1)
	printf(cmd, "in %.0f bytes/s in %.1f datagrams/s, out %.0f in %.1f, %d held back; "+
		"%d drops, p50 %.1f s, p99 %.1f s\n",
		float64(r.InBytes)/uptime, float64(r.InDatagrams)/uptime,
		float64(r.OutBytes)/uptime, float64(r.OutDatagrams)/uptime,
		r.SendsDropped, r.Detections, r.DetectionP50Seconds, r.DetectionP99Seconds)
	if r.Silent {
		printf(cmd, "SILENT: a newer process has this router's name\n")
	}
	for _, m := range r.Members {
		printMember(cmd, m)
	}
	for _, d := range r.Doubts {
		printf(cmd, "member %-12s doubt %.2f: %s\n", d.Endpoint, d.Level, strings.Join(d.Witnesses, ", "))
	}
}

// printMember prints the line of one peer: its state, then what speaks against it.
func printMember(cmd *cobra.Command, m membership.MemberReport) {
	printf(cmd, "%-16s %-8s for %6.0f s  zone %-10s %-21s life %d.%d",
		m.Name, m.State, m.SinceSeconds, m.Zone, m.Address, m.StartMillis, m.Refutations)
	if len(m.Accusers) > 0 || m.FailedProbes > 0 {
		printf(cmd, "  own failed looks %d, charged by %s", m.FailedProbes, strings.Join(m.Accusers, " "))
	}
	if m.RefutedAccusations+m.ConfirmedAccusations >= minShownEvidence {
		printf(cmd, "  its charges: %.1f right, %.1f wrong", m.ConfirmedAccusations, m.RefutedAccusations)
	}
	if m.ConfirmedObservations+m.RefutedObservations >= minShownEvidence {
		printf(cmd, "  its words on members: %.1f right, %.1f wrong", m.ConfirmedObservations, m.RefutedObservations)
	}
	if m.Silenced || !m.Trusted {
		printf(cmd, "  NOT LISTENED TO")
	}
	if m.ViewDiffers {
		printf(cmd, "  sees others than we do")
	}
	printf(cmd, "\n")
}
