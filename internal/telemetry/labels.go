package telemetry

// Class is the name of a request class as a label value.
type Class string

// String returns the class's name.
func (c Class) String() string { return string(c) }

// AdminRequest is the name of a request on the admin socket as a label value.
type AdminRequest string

// String returns the label value.
func (r AdminRequest) String() string { return string(r) }

// Side is the kind of peer at the other end of a connection.
type Side string

// The sides of connections.
const (
	SideClient      Side = "client"       // a client of the router
	SideEndpoint    Side = "endpoint"     // an edge cache, a parent cache or the origin, to which requests are sent
	SideDiscovery   Side = "discovery"    // the discovery service
	SideCacheClient Side = "cache_client" // a router or another cache that connected to an edge cache
)

// String returns the text of the side in log lines and labels.
func (s Side) String() string { return string(s) }

// Component is the part of the program in which a panic was recovered.
type Component string

// The components that recover panics.
const (
	ComponentFrontend   Component = "frontend"
	ComponentDispatch   Component = "dispatch"
	ComponentRouting    Component = "routing"
	ComponentUpstream   Component = "upstream"
	ComponentDiscovery  Component = "discovery"
	ComponentMembership Component = "membership"
	ComponentEdgeCache  Component = "edge_cache"
)
