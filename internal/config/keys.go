package config

// Keys of the file that the package's own errors name. The struct tags of File have all keys with their terms.
const (
	keyRouter           = "router"
	keyAddresses        = "addresses"
	keyEndpoint         = "member" // id of an endpoint
	keyDiscoveryAddress = "board"  // an endpoint's address in the endpoint list
	keyAddressList      = "list"

	keyMembership  = "peers"
	keyKeyFile     = "key_file"
	keyRoster      = "roster"
	keyName        = "name"
	keyPublicKey   = "key"
	keyAddress     = "address"
	keyFaultyPeers = "liars" // byzantine peers that are tolerated

	keyEdgeCache = "box"
	keySynthetic = "made" // synthetic content
	keyMinBytes  = "least_bytes"
	keyMaxBytes  = "most_bytes"
)
