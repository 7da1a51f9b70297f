package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"cairnfront/internal/admin"
	"cairnfront/internal/dispatch"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"

	"github.com/spf13/cobra"
)

// adminSocketVariable is the environment variable with the default path of the admin socket.
const adminSocketVariable = "CAIRNFRONT_SOCKET"

// millisPerSecond converts the times that are printed.
const millisPerSecond = 1000

// addressHandlers are the admin socket's requests about the addresses of endpoints.
func addressHandlers(dispatcher *dispatch.Dispatcher) map[string]admin.Handler {
	command := func(run func(ctx context.Context, endpoint routing.EndpointID, addr string) error) admin.Handler {
		return func(ctx context.Context, args map[string]string) (any, error) {
			return "done", run(ctx, routing.EndpointID(args["member"]), args["address"])
		}
	}
	return map[string]admin.Handler{
		"reach": func(ctx context.Context, _ map[string]string) (any, error) {
			return dispatcher.AddressStatus(ctx)
		},
		"rest":   command(dispatcher.DisableAddress),
		"unrest": command(dispatcher.ReinstateAddress),
	}
}

func reachCommand() *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{
		Use:   "reach",
		Short: "What a running router knows of its members' addresses",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := admin.Call(socket, "reach", nil)
			if err != nil {
				return err
			}
			return printAddresses(cmd, data, asJSON)
		},
	}
	addSocketFlag(c, &socket)
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.AddCommand(
		addressCommand(&socket, "rest", "Use an address for no new hop until it is unrested"),
		addressCommand(&socket, "unrest", "End any rest of an address"),
	)
	return c
}

// addSocketFlag adds the flag of the admin socket to a command and those below it.
func addSocketFlag(c *cobra.Command, socket *string) {
	help := "the operators' socket (" + adminSocketVariable + ")"
	c.PersistentFlags().StringVar(socket, "socket", os.Getenv(adminSocketVariable), help)
}

// addressCommand sends the admin socket a command on one address.
func addressCommand(socket *string, name, short string) *cobra.Command {
	return &cobra.Command{
		Use:   name + " MEMBER ADDRESS",
		Short: short,
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			_, err := admin.Call(*socket, name, map[string]string{"member": args[0], "address": args[1]})
			return err
		},
	}
}

// printAddresses prints the state of addresses, one a line, or as the JSON that came.
func printAddresses(cmd *cobra.Command, data json.RawMessage, asJSON bool) error {
	var addresses []address.Status
	if err := json.Unmarshal(data, &addresses); err != nil {
		return err
	}
	if asJSON {
		_, err := fmt.Fprintln(cmd.OutOrStdout(), string(data))
		return err
	}
	for _, a := range addresses {
		cooldown := fmt.Sprintf("%.1f s", a.CooldownSeconds)
		if a.CooldownSeconds < 0 {
			cooldown = "until unrest"
		}
		printf(cmd, "%-12s %d %-28s %-8s for %.0f s, rest %s, connect %.1f ms, first byte %.1f ms\n",
			a.Endpoint, a.Rank, a.Addr, a.Condition, a.SinceSeconds, cooldown,
			a.ConnectSeconds*millisPerSecond, a.FirstByteSeconds*millisPerSecond)
	}
	return nil
}
