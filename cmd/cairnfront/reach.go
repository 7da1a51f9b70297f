package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"cairnfront/internal/admin"
	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/dispatch"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream"
	"cairnfront/internal/upstream/address"
	"cairnfront/internal/upstream/retrybudget"
	"cairnfront/routing"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"
)

// addressLookup returns a lookup in the configured addresses of endpoints.
func addressLookup(configured []config.EndpointAddresses) dispatch.AddressLookup {
	return func(endpoint discovery.Endpoint) []address.Addr {
		for _, entry := range configured {
			if !entry.Matches(string(endpoint.ID), endpoint.Address) {
				continue
			}
			addresses := make([]address.Addr, len(entry.Addresses))
			for i, text := range entry.Addresses {
				addresses[i] = address.Addr(text)
			}
			return addresses
		}
		return nil
	}
}

// extend makes a router of what the operators' file asks beside its start file. Nothing of it is there without one.
// Reload takes the file's text anew.
func extend(ctx context.Context, g *errgroup.Group, file, name string, seed uint64, rules map[int]bool, probes bool, pool *upstream.Pool, loop *dispatch.Dispatcher,
	k *telemetry.Metrics) (reload func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	book, err := config.Read(file)
	if err != nil {
		return nil, err
	}
	node, err := join(ctx, g, book.Membership, name, seed, loop, k)
	if err != nil {
		return nil, err
	}
	if book.Router.RetryShare > 0 {
		loop.RetryBudget = retrybudget.New(retrybudget.Limits{RetryRatio: book.Router.RetryShare, MinRetries: book.Router.RetryFloor})
	}
	apply := func(config.File) error { return nil }
	if len(book.Router.Addresses) > 0 {
		pool.AddressSelector = address.New(seed)
		pool.EndpointAddresses = addressLookup(book.Router.Addresses)
		pool.AddressSelector.HealthChecksAllowed = probes
		pool.IsIdempotent = func(rule int) bool { return rules[rule] }
		apply = func(fresh config.File) error {
			if len(fresh.Router.Addresses) == 0 {
				return errors.New("router.addresses: the last ones can't go while the router runs")
			}
			loop.ReplaceAddresses(addressLookup(fresh.Router.Addresses))
			k.Log.Info("reload", "code", "addresses", "entries", len(fresh.Router.Addresses))
			return nil
		}
	}
	reload = func() {
		fresh, err := config.Read(file)
		if err == nil {
			err = errors.Join(apply(fresh), rejoin(ctx, node, fresh.Membership, k))
		}
		if err != nil {
			k.Inc(telemetry.ReloadsFailed)
			k.Log.Error("reload", "code", "kept-old", "err", err.Error())
		}
	}
	if book.Router.AdminSocket == "" {
		return reload, nil
	}
	ln, err := admin.Listen(book.Router.AdminSocket)
	if err != nil {
		return nil, fmt.Errorf("router.socket: %w", err)
	}
	door := &admin.Server{Metrics: k, Handlers: addressHandlers(loop)}
	for do, h := range peerHandlers(node) {
		door.Handlers[do] = h
	}
	g.Go(func() error { return door.Run(ctx, ln) })
	return reload, nil
}

// addressHandlers are the admin socket's requests about the addresses of endpoints.
func addressHandlers(loop *dispatch.Dispatcher) map[string]admin.Handler {
	command := func(run func(ctx context.Context, endpoint routing.EndpointID, addr string) error) admin.Handler {
		return func(ctx context.Context, args map[string]string) (any, error) {
			return "done", run(ctx, routing.EndpointID(args["member"]), args["address"])
		}
	}
	return map[string]admin.Handler{
		"reach":  func(ctx context.Context, _ map[string]string) (any, error) { return loop.AddressStatus(ctx) },
		"rest":   command(loop.DisableAddress),
		"unrest": command(loop.ReinstateAddress),
	}
}

func reachCommand() *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{Use: "reach", Short: "What a running router knows of its members' addresses", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := admin.Call(socket, "reach", nil)
			if err != nil {
				return err
			}
			var list []address.Status
			if err := json.Unmarshal(data, &list); err != nil {
				return err
			}
			if asJSON {
				_, err = fmt.Fprintln(cmd.OutOrStdout(), string(data))
				return err
			}
			for _, s := range list {
				rest := fmt.Sprintf("%.1f s", s.CooldownSeconds)
				if s.CooldownSeconds < 0 {
					rest = "until unrest"
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%-12s %d %-28s %-8s for %.0f s, rest %s, connect %.1f ms, first byte %.1f ms\n", s.Endpoint, s.Rank, s.Addr, s.Condition,
					s.SinceSeconds, rest, s.ConnectSeconds*1000, s.FirstByteSeconds*1000)
			}
			return nil
		}}
	c.PersistentFlags().StringVar(&socket, "socket", os.Getenv("CAIRNFRONT_SOCKET"), "the operators' socket (CAIRNFRONT_SOCKET)")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	for _, x := range []struct{ do, short string }{{"rest", "Use an address for no new hop until it is unrested"}, {"unrest", "End any rest of an address"}} {
		c.AddCommand(&cobra.Command{Use: x.do + " MEMBER ADDRESS", Short: x.short, Args: cobra.ExactArgs(2),
			RunE: func(cmd *cobra.Command, args []string) error {
				_, err := admin.Call(socket, x.do, map[string]string{"member": args[0], "address": args[1]})
				return err
			}})
	}
	return c
}
