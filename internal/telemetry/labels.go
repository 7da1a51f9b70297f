package telemetry

// Class is the name of a request class, as a label.
type Class string

// String returns the class's name.
func (c Class) String() string { return string(c) }

// AdminRequest is a request on the admin socket, as a label.
type AdminRequest string

// String returns the request's label.
func (r AdminRequest) String() string { return string(r) }

// Side says what is at the other end of a connection.
type Side string

// The sides of connections.
const (
	SideClient      Side = "client"       // a client of the router
	SideEndpoint    Side = "endpoint"     // an edge cache, a parent cache or the origin that requests are sent to
	SideDiscovery   Side = "discovery"    // the discovery service
	SideCacheClient Side = "cache_client" // a router or another cache, at an edge cache
)

// String returns the side's text in log lines and labels.
func (s Side) String() string { return string(s) }

// Component is the part of the program that a panic was recovered in.
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
