// Package cborcodec has the one configuration with which this program writes and reads CBOR (RFC 8949): deterministic
// encoding, no tags, no indefinite lengths, no duplicate keys, and bounds on what is read. It owns no state.
package cborcodec

import "github.com/fxamacker/cbor/v2"

// maxNesting is how deep lists and maps may be nested in what is read.
const maxNesting = 8

// NewModes makes an encoder and a decoder. The decoder takes maxElements in a list and as many pairs in a map.
func NewModes(maxElements int) (cbor.EncMode, cbor.DecMode) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // of options that never change
	}
	decoder, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // of options that only a caller's bound changes
	}
	return encoder, decoder
}
