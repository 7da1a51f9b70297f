package main

import (
	"context"
	"errors"
	"fmt"
	"maps"

	"cairnfront/internal/admin"
	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/dispatch"
	"cairnfront/internal/membership"
	"cairnfront/internal/telemetry"
	"cairnfront/internal/upstream/address"
	"cairnfront/internal/upstream/retrybudget"
	"cairnfront/routing"

	"golang.org/x/sync/errgroup"
)

// errAddressesRemoved is returned for a reloaded configuration file that has no addresses any more.
var errAddressesRemoved = errors.New("router.addresses: not all can be removed while the router runs")

// extensions are the parts of a router that only a configuration file switches on.
type extensions struct {
	path       string
	node       *membership.Node // nil without membership
	addresses  bool             // the file lists addresses of endpoints
	dispatcher *dispatch.Dispatcher
	metrics    *telemetry.Metrics
}

// extend adds to the router what the configuration file asks for. It is called before the router is started. The
// goroutines of membership and of the admin server belong to the group and end with the context.
func (r *router) extend(ctx context.Context, g *errgroup.Group, path string) (*extensions, error) {
	file, err := config.Read(path)
	if err != nil {
		return nil, err
	}
	e := &extensions{path: path, dispatcher: r.dispatcher, metrics: r.metrics}
	if e.node, err = r.joinPeers(ctx, g, file.Membership); err != nil {
		return nil, err
	}
	if file.Router.RetryShare > 0 {
		limits := retrybudget.Limits{RetryRatio: file.Router.RetryShare, MinRetries: file.Router.RetryFloor}
		r.dispatcher.RetryBudget = retrybudget.New(limits)
	}
	if len(file.Router.Addresses) > 0 {
		e.addresses = true
		r.selectAddresses(file.Router.Addresses)
	}
	if file.Router.AdminSocket != "" {
		if err := e.serveAdmin(ctx, g, file.Router.AdminSocket); err != nil {
			return nil, fmt.Errorf("router.socket: %w", err)
		}
	}
	return e, nil
}

// selectAddresses lets the pool choose between the configured addresses of an endpoint.
func (r *router) selectAddresses(configured []config.EndpointAddresses) {
	idempotent := map[int]bool{}
	for i := range r.config.ClassNames {
		effect := r.config.Settings[routing.ClassSetting(routing.ClassIndex(i), routing.ClassEffect)]
		idempotent[i] = routing.Effect(effect) == routing.Idempotent
	}
	r.pool.AddressSelector = address.New(r.config.Seed)
	r.pool.AddressSelector.HealthChecksAllowed = r.config.Settings.Bool(routing.SettingHealthChecks)
	r.pool.EndpointAddresses = addressLookup(configured)
	r.pool.IsIdempotent = func(class int) bool { return idempotent[class] }
}

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

// serveAdmin serves operators' commands on a Unix socket. The server's goroutine belongs to the group and ends with the
// context.
func (e *extensions) serveAdmin(ctx context.Context, g *errgroup.Group, path string) error {
	ln, err := admin.Listen(ctx, path)
	if err != nil {
		return err
	}
	server := &admin.Server{Metrics: e.metrics, Handlers: addressHandlers(e.dispatcher)}
	maps.Copy(server.Handlers, peerHandlers(e.node))
	g.Go(func() error { return server.Run(ctx, ln) })
	return nil
}

// reload reads the configuration file again. Its addresses and its roster take effect independently.
func (e *extensions) reload(ctx context.Context) error {
	fresh, err := config.Read(e.path)
	if err != nil {
		return err
	}
	err = errors.Join(e.reloadAddresses(fresh.Router.Addresses), e.reloadRoster(ctx, fresh.Membership))
	if err != nil {
		return fmt.Errorf("reload configuration file %s: %w", e.path, err)
	}
	return nil
}

// reloadAddresses replaces the addresses of endpoints. Without any at the start, new ones have no effect.
func (e *extensions) reloadAddresses(configured []config.EndpointAddresses) error {
	if !e.addresses {
		return nil
	}
	if len(configured) == 0 {
		return errAddressesRemoved
	}
	e.dispatcher.ReplaceAddresses(addressLookup(configured))
	e.metrics.Log.Info("endpoint addresses reloaded", "entries", len(configured))
	return nil
}
