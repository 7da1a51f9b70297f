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
	// ErrNotDisabled is returned for an address that is unknown, or is the last usable one of its endpoint.
	ErrNotDisabled = errors.New("no such endpoint and address, or its last address that is not disabled")
	// ErrUnknownAddress is returned for an address that is unknown.
	ErrUnknownAddress = errors.New("no such endpoint and address")
	// ErrLoopBusy is returned if the loop did not handle a command before its context ended.
	ErrLoopBusy = errors.New("the event loop did not handle the command in time")
)

// AddressLookup returns the configured addresses of an endpoint, none if it has only the one of the endpoint list.
type AddressLookup func(discovery.Endpoint) []address.Addr

// addressAction is what an operator wants to be done with an address.
type addressAction int

const (
	disableAddress addressAction = iota
	reinstateAddress
)

// addressStatusReply is the answer to an addressStatusQuery.
type addressStatusReply []address.Status

// ReplaceAddresses queues the addresses of a configuration file read anew. The pool must have an address selector.
func (d *Dispatcher) ReplaceAddresses(lookup AddressLookup) { d.post(addressesReplaced{lookup}) }

// AddressStatus returns the state of every address that the address selector knows.
func (d *Dispatcher) AddressStatus(ctx context.Context) ([]address.Status, error) {
	reply := make(chan addressStatusReply, 1)
	d.post(addressStatusQuery{reply})
	select {
	case status := <-reply:
		return status, nil
	case <-ctx.Done():
		return nil, ErrLoopBusy
	}
}

// DisableAddress uses an address for no new attempt until it is reinstated.
func (d *Dispatcher) DisableAddress(ctx context.Context, endpoint routing.EndpointID, addr string) error {
	return d.commandAddress(ctx, disableAddress, endpoint, addr)
}

// ReinstateAddress ends any cooldown of an address.
func (d *Dispatcher) ReinstateAddress(ctx context.Context, endpoint routing.EndpointID, addr string) error {
	return d.commandAddress(ctx, reinstateAddress, endpoint, addr)
}

// commandAddress queues a command on an address and waits for its result.
func (d *Dispatcher) commandAddress(
	ctx context.Context,
	action addressAction,
	endpoint routing.EndpointID,
	addr string,
) error {
	reply := make(chan error, 1)
	d.post(addressCommand{action: action, endpoint: endpoint, address: addr, reply: reply})
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ErrLoopBusy
	}
}

// replaceAddresses takes the addresses of a configuration file read anew into use.
func (d *Dispatcher) replaceAddresses(lookup AddressLookup) {
	d.Pool.EndpointAddresses = lookup
	d.Pool.RefreshAddresses()
}

// addressStatus returns the state of every address, an empty list without an address selector.
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
