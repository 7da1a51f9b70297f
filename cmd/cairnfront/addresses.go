package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"cairnfront/internal/admin"
	"cairnfront/internal/dispatch"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"

	"github.com/spf13/cobra"
)

// adminSocketVariable is the environment variable that has the default path of the admin socket.
const adminSocketVariable = "CAIRNFRONT_SOCKET"

// millisPerSecond converts durations from seconds for printing.
const millisPerSecond = 1000

// addressHandlers returns the handlers of the admin socket's requests about endpoint addresses.
func addressHandlers(dispatcher *dispatch.Dispatcher) map[admin.RequestName]admin.Handler {
	command := func(run func(ctx context.Context, endpoint routing.EndpointID, addr string) error) admin.Handler {
		return func(ctx context.Context, args map[string]string) (any, error) {
			return "done", run(ctx, routing.EndpointID(args[admin.ArgEndpoint]), args[admin.ArgAddress])
		}
	}
	return map[admin.RequestName]admin.Handler{
		admin.ShowAddresses: func(ctx context.Context, _ map[string]string) (any, error) {
			return dispatcher.AddressStatus(ctx)
		},
		admin.CooldownAddress:  command(dispatcher.DisableAddress),
		admin.ReinstateAddress: command(dispatcher.ReinstateAddress),
	}
}

const addressesHelp = `Show the addresses of a running router's endpoints and their state.

A line for each address, in the order of preference: endpoint, preference from 0, address, condition and for how long,
what is left of its cooldown (an address in cooldown gets no new request), mean time to connect and to the first byte.

Conditions:
  healthy             it accepts connections and answers
  connect_refused     connecting failed at once
  connect_timed_out   connecting took too long
  connection_broken   an established connection broke
  unresponsive        it accepts connections and sends nothing
  disabled            in cooldown by an operator`

func addressesCommand() *cobra.Command {
	var socket string
	var asJSON bool
	c := &cobra.Command{
		Use:   "addresses",
		Short: "Show the addresses of a running router's endpoints and their state",
		Long:  addressesHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			data, err := callAdmin(cmd.Context(), socket, admin.ShowAddresses, nil)
			if err != nil {
				return err
			}
			return printAddresses(cmd, data, asJSON)
		},
	}
	addSocketFlag(c, &socket)
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cooldown := func() *cobra.Command {
		return addressCommand(&socket, admin.CooldownAddress,
			"cooldown", "Put an address into cooldown until it is reinstated")
	}
	reinstate := func() *cobra.Command {
		return addressCommand(&socket, admin.ReinstateAddress,
			"reinstate", "End an address's cooldown")
	}
	c.AddCommand(cooldown(), reinstate(), alias(aliasCooldown, cooldown()), alias(aliasReinstate, reinstate()))
	return c
}

// errNoSocket is returned if neither a flag nor the environment sets the path of the admin socket.
var errNoSocket = errors.New("no admin socket: set --socket or " + adminSocketVariable)

// callAdmin sends a request to the admin socket and returns the data of the response as JSON.
func callAdmin(
	ctx context.Context, socket string, name admin.RequestName, args map[string]string,
) (json.RawMessage, error) {
	if socket == "" {
		return nil, errNoSocket
	}
	return admin.Call(ctx, socket, name, args)
}

// addSocketFlag adds the --socket flag to a command and its subcommands.
func addSocketFlag(c *cobra.Command, socket *string) {
	help := "path of the router's admin socket; default: environment variable " + adminSocketVariable
	c.PersistentFlags().StringVar(socket, "socket", os.Getenv(adminSocketVariable), help)
}

// addressCommand returns a command that sends a request about one address to the admin socket.
func addressCommand(socket *string, request admin.RequestName, name, short string) *cobra.Command {
	return &cobra.Command{
		Use:   name + " ENDPOINT ADDRESS",
		Short: short,
		Long: short + ".\n\nENDPOINT is the id of an endpoint, ADDRESS one of its addresses: IP:PORT or unix:/PATH.\n" +
			"An endpoint's last address that is not in cooldown can't be put into cooldown.",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := callAdmin(cmd.Context(), *socket, request, map[string]string{
				admin.ArgEndpoint: args[0],
				admin.ArgAddress:  args[1],
			})
			return err
		},
	}
}

// printAddresses prints the state of addresses, one per line, or the received JSON if asJSON is true.
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
			cooldown = "until reinstated"
		}
		printf(cmd, "%-12s %d %-28s %-17s for %.0f s, cooldown %s, connect %.1f ms, first byte %.1f ms\n",
			a.Endpoint, a.Rank, a.Addr, conditionText(a.Condition), a.SinceSeconds, cooldown,
			a.ConnectSeconds*millisPerSecond, a.FirstByteSeconds*millisPerSecond)
	}
	return nil
}

// conditionText returns the printed term for the wire name of a condition, or the name itself if it is unknown.
func conditionText(wireName string) string {
	if condition, ok := address.ParseConditionWireName(wireName); ok {
		return condition.String()
	}
	return wireName
}
