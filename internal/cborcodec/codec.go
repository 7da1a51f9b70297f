// Package cborcodec provides the CBOR (RFC 8949) configuration of all packages: deterministic encoding, no tags, no
// indefinite lengths, no duplicate keys, and limits on the size of decoded data. It has no state.
package cborcodec

import "github.com/fxamacker/cbor/v2"

// maxNesting is the maximum nesting depth of arrays and maps that the decoder accepts.
const maxNesting = 8

// NewModes returns an encoder and a decoder. The decoder accepts up to maxElements elements per array and pairs per
// map.
func NewModes(maxElements int) (cbor.EncMode, cbor.DecMode) {
	encoder, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // can't happen: the options are constant
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
		panic(err) // only an invalid maxElements causes this error
	}
	return encoder, decoder
}
