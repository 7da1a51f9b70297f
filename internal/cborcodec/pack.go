// Package pack is the one way in which this program writes and reads CBOR (RFC 8949): deterministic, without tags or indefinite lengths,
// with a bound on what is read.
package cborcodec

import "github.com/fxamacker/cbor/v2"

// Modes makes an encoder and a decoder that takes so many elements in a list and pairs in a map, nested eight deep at the most.
func Modes(most int) (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // of options that never change
	}
	dec, err := cbor.DecOptions{MaxArrayElements: most, MaxMapPairs: most, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}
