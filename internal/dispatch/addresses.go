package dispatch

import (
	"context"
	"errors"

	"cairnfront/internal/discovery"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"
)

// Errors of the operators' commands on addresses.
var (
	// ErrNotDisabled is returned if an address could not be disabled, because it is unknown or the only address of its
	// endpoint that is not disabled.
	ErrNotDisabled = errors.New("no such endpoint and address, or its last address that is not disabled")
	// ErrUnknownAddress is returned if an address is unknown.
	ErrUnknownAddress = errors.New("no such endpoint and address")
	// ErrLoopBusy is returned if the event loop did not handle a command before the context was done.
	ErrLoopBusy = errors.New("the event loop did not handle the command in time")
)

// AddressLookup returns the configured addresses of an endpoint, or nil if only its address in the endpoint list is
// used.
type AddressLookup func(discovery.Endpoint) []address.Addr

// addressAction is an operator's command on an address.
type addressAction int

const (
	disableAddress addressAction = iota
	reinstateAddress
)

// addressStatusReply is the reply to an addressStatusQuery.
type addressStatusReply []address.Status

// ReplaceAddresses queues an event that replaces the configured addresses after a reload of the configuration file. The
// pool must have an address selector.
func (d *Dispatcher) ReplaceAddresses(lookup AddressLookup) { d.enqueue(addressesReplaced{lookup}) }

// AddressStatus returns the state of every address of the address selector.
func (d *Dispatcher) AddressStatus(ctx context.Context) ([]address.Status, error) {
	reply := make(chan addressStatusReply, 1)
	d.enqueue(addressStatusQuery{reply})
	select {
	case status := <-reply:
		return status, nil
	case <-ctx.Done():
		return nil, ErrLoopBusy
	}
}

// DisableAddress takes an address out of use for new attempts until it is reinstated.
func (d *Dispatcher) DisableAddress(ctx context.Context, endpoint routing.EndpointID, addr string) error {
	return d.sendAddressCommand(ctx, disableAddress, endpoint, addr)
}

// ReinstateAddress puts an address that is disabled or in cooldown back into use.
func (d *Dispatcher) ReinstateAddress(ctx context.Context, endpoint routing.EndpointID, addr string) error {
	return d.sendAddressCommand(ctx, reinstateAddress, endpoint, addr)
}

// sendAddressCommand queues a command on an address and waits for its result.
func (d *Dispatcher) sendAddressCommand(
	ctx context.Context,
	action addressAction,
	endpoint routing.EndpointID,
	addr string,
) error {
	reply := make(chan error, 1)
	d.enqueue(addressCommand{action: action, endpoint: endpoint, address: addr, reply: reply})
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ErrLoopBusy
	}
}

// replaceAddresses applies the addresses of a reloaded configuration file to the pool.
func (d *Dispatcher) replaceAddresses(lookup AddressLookup) {
	d.Pool.EndpointAddresses = lookup
	d.Pool.RefreshAddresses()
}

// addressStatus returns the state of every address, or an empty list if the pool has no address selector.
func (d *Dispatcher) addressStatus() addressStatusReply {
	if d.Pool.AddressSelector == nil {
		return addressStatusReply{}
	}
	return d.Pool.AddressSelector.Status(d.Clock())
}

// runAddressCommand disables or reinstates an address.
func (d *Dispatcher) runAddressCommand(command addressCommand) error {
	selector := d.Pool.AddressSelector
	addr := address.Addr(command.address)
	switch command.action {
	case disableAddress:
		if selector == nil || !selector.Disable(d.Clock(), command.endpoint, addr) {
			return ErrNotDisabled
		}
	case reinstateAddress:
		if selector == nil || !selector.Reinstate(d.Clock(), command.endpoint, addr) {
			return ErrUnknownAddress
		}
	}
	return nil
}
