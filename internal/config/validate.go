package config

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"path"
	"strconv"
	"strings"
)

// publicKeyBytes is the length of an Ed25519 public key.
const publicKeyBytes = 32

// validate checks the rules that the schema can't express. It returns the first mistake.
func (f File) validate(d document) error {
	for i, addresses := range f.Router.Addresses {
		if err := addresses.validate(d, []string{keyRouter, keyAddresses, strconv.Itoa(i)}); err != nil {
			return err
		}
	}
	if err := f.Membership.validate(d); err != nil {
		return err
	}
	if c := f.EdgeCache.Synthetic; c.MinBytes > c.MaxBytes {
		reason := fmt.Sprintf("%d is greater than %s, %d", c.MinBytes, keyMaxBytes, c.MaxBytes)
		return d.errorAt(reason, keyEdgeCache, keySynthetic, keyMinBytes)
	}
	return nil
}

// validate checks that an endpoint is specified and that its pattern and the addresses have a valid form. The argument
// at is the path of e in the file.
func (e EndpointAddresses) validate(d document, at []string) error {
	if e.Endpoint == "" && e.DiscoveryAddress == "" {
		return d.errorAt(keyEndpoint+" or "+keyDiscoveryAddress+" is required", at...)
	}
	if _, err := path.Match(e.Endpoint, ""); err != nil {
		return d.errorAt(fmt.Sprintf("%q is not a valid pattern", e.Endpoint), append(at, keyEndpoint)...)
	}
	for i, address := range e.Addresses {
		if _, err := netip.ParseAddrPort(address); err != nil && !strings.HasPrefix(address, "unix:/") {
			reason := fmt.Sprintf("%q is neither IP:PORT nor unix:/PATH", address)
			return d.errorAt(reason, append(at, keyAddressList, strconv.Itoa(i))...)
		}
	}
	return nil
}

// validate checks that the roster has no duplicates and that this router can join the membership.
func (m Membership) validate(d document) error {
	if m.Listen == "" {
		return nil
	}
	names, reachable, err := m.validateRoster(d)
	if err != nil {
		return err
	}
	switch {
	case m.KeyFile == "":
		return d.errorAt("required if listen is set", keyMembership, keyKeyFile)
	case len(m.Roster) == 0:
		return d.errorAt("required if listen is set", keyMembership, keyRoster)
	case len(m.Roster) > 1 && !reachable:
		return d.errorAt("no other router has an address, so none can be reached", keyMembership, keyRoster)
	case m.Name != "" && !names[m.Name]:
		return d.errorAt(fmt.Sprintf("%q is not in the roster", m.Name), keyMembership, keyName)
	case 3*m.FaultyPeers >= len(m.Roster) && m.FaultyPeers > 1: // 1, the default, is accepted with any roster
		reason := fmt.Sprintf("%d byzantine peers of %d: under a third can be tolerated", m.FaultyPeers, len(m.Roster))
		return d.errorAt(reason, keyMembership, keyFaultyPeers)
	}
	return nil
}

// validateRoster checks each entry of the roster. It returns the names in the roster, and whether any router other than
// this one has an address.
func (m Membership) validateRoster(d document) (names map[string]bool, reachable bool, err error) {
	names = map[string]bool{}
	keys := map[string]bool{}
	for i, peer := range m.Roster {
		at := func(key string) []string { return []string{keyMembership, keyRoster, strconv.Itoa(i), key} }
		if raw, err := base64.StdEncoding.DecodeString(peer.Key); err != nil || len(raw) != publicKeyBytes {
			return nil, false, d.errorAt("not a public key of 32 bytes in base64", at(keyPublicKey)...)
		}
		if names[peer.Name] {
			return nil, false, d.errorAt(fmt.Sprintf("duplicate name %q", peer.Name), at(keyName)...)
		}
		if keys[peer.Key] {
			return nil, false, d.errorAt("duplicate key: each router needs its own", at(keyPublicKey)...)
		}
		if peer.Address != "" {
			if _, err := netip.ParseAddrPort(peer.Address); err != nil {
				return nil, false, d.errorAt(fmt.Sprintf("%q is not IP:PORT", peer.Address), at(keyAddress)...)
			}
		}
		names[peer.Name] = true
		keys[peer.Key] = true
		reachable = reachable || peer.Address != "" && peer.Name != m.Name
	}
	return names, reachable, nil
}
