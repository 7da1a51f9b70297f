package config

// Keys of the file that this package uses in errors. The struct tags of File map all keys to the terms of the code.
const (
	keyRouter           = "router"
	keyAddresses        = "addresses"
	keyEndpoint         = "member" // id of an endpoint
	keyDiscoveryAddress = "board"  // address of an endpoint in the endpoint list
	keyAddressList      = "list"

	keyMembership  = "peers"
	keyKeyFile     = "key_file"
	keyRoster      = "roster"
	keyName        = "name"
	keyPublicKey   = "key"
	keyAddress     = "address"
	keyFaultyPeers = "liars" // number of Byzantine peers that are tolerated

	keyEdgeCache = "box"
	keySynthetic = "made" // synthetic content
	keyMinBytes  = "least_bytes"
	keyMaxBytes  = "most_bytes"
)
