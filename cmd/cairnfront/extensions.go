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

// errAddressesRemoved is returned if a reloaded configuration file no longer lists any addresses.
var errAddressesRemoved = errors.New("router.addresses: not all can be removed while the router runs")

// extensions are the optional parts of a router that only a configuration file enables.
type extensions struct {
	path       string
	node       *membership.Node // nil if membership is off
	addresses  bool             // the file listed endpoint addresses when the router started
	dispatcher *dispatch.Dispatcher
	metrics    *telemetry.Metrics
}

// extend enables the parts that the configuration file sets. It must be called before the router is started. The
// goroutines of membership and of the admin server run in the group until the context is cancelled.
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

// selectAddresses makes the pool select among the configured addresses of an endpoint.
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

// addressLookup returns a function that looks up the configured addresses of an endpoint. It returns nil if there are
// none.
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

// serveAdmin serves operators' commands on a Unix socket. The server's goroutine runs in the group until the context is
// cancelled.
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

// reload reads the configuration file again. An error in its addresses does not prevent the roster from being applied,
// and vice versa.
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

// reloadAddresses replaces the endpoints' addresses. If the file listed none at the start, new ones have no effect.
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
