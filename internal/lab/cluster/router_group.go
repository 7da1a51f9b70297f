package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cairnfront/internal/faultproxy"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/sim/faults"
)

// RouterCount is the number of routers in a RouterGroup.
const RouterCount = 20

// peerRouter is one router of a RouterGroup.
type peerRouter struct {
	*Router
	index int
}

// RouterGroup is a set of router processes that are peers of each other, hostile peers in the same roster, and a small
// test cluster. All datagrams between two peers pass through a fault proxy.
type RouterGroup struct {
	options      Options
	Cluster      *Cluster
	Script       faults.Script
	network      *faultproxy.Network
	networkStart time.Time
	routers      []*peerRouter
	HostilePeers []*standin.HostilePeer
	ClientGroups []*standin.ClientGroup
	edgeCaches   []*Endpoint
	names        []string      // names of the routers and the hostile peers, by index
	Marks        []report.Mark // one for each fault that has begun

	mu          sync.Mutex // guards scriptStart
	scriptStart time.Time  // zero until the script starts
}

// clusterMember is the identity, key and socket of a router or a hostile peer.
type clusterMember struct {
	datagram.Identity
	seed      string       // seed of the private key
	publicKey string       // public key in its text encoding
	conn      *net.UDPConn // reserves the port until the member binds it
}

// NewRouterGroup starts a cluster of two zones, the routers and the hostile peers, and waits until the routers are
// ready.
func NewRouterGroup(
	ctx context.Context, options Options, script faults.Script, hostilePeers int,
) (_ *RouterGroup, err error) {
	cluster, err := New(options, 2)
	if err != nil {
		return nil, err
	}
	g := &RouterGroup{
		options:      options,
		Cluster:      cluster,
		Script:       script,
		network:      faultproxy.New(options.Seed, script.Processes),
		networkStart: time.Now(),
	}
	defer func() {
		if err != nil {
			g.Close(nil)
		}
	}()
	if g.edgeCaches, err = cluster.StartTwoZones(ctx); err != nil {
		return nil, err
	}
	members, err := g.makeMembers(script.Processes)
	if err != nil {
		return nil, err
	}
	routes, err := g.makeRoutes(members)
	if err != nil {
		return nil, err
	}
	for i := range RouterCount {
		if err := g.prepareRouter(i, members, routes[i], hostilePeers); err != nil {
			return nil, err
		}
	}
	for i := RouterCount; i < len(members); i++ {
		if err := g.addHostilePeer(i, members, routes[i]); err != nil {
			return nil, err
		}
	}
	if err := g.startRouters(members); err != nil {
		return nil, err
	}
	return g, nil
}

// makeMembers assigns a name, a key and a port to each of n members.
func (g *RouterGroup) makeMembers(n int) ([]clusterMember, error) {
	members := make([]clusterMember, n)
	for i := range members {
		member := &members[i]
		var err error
		if member.seed, member.publicKey, err = datagram.GenerateKey(); err != nil {
			return nil, err
		}
		if member.Key, err = datagram.ParsePublicKey(member.publicKey); err != nil {
			return nil, err
		}
		if member.conn, err = listenReusableUDP(); err != nil {
			return nil, err
		}
		member.Name = fmt.Sprintf("n%d", i+1)
		g.names = append(g.names, member.Name)
	}
	return members, nil
}

// makeRoutes opens a fault proxy for each direction between two members: member i sends to member j at the address
// routes[i][j].
func (g *RouterGroup) makeRoutes(members []clusterMember) ([][]netip.AddrPort, error) {
	routes := make([][]netip.AddrPort, len(members))
	for i := range members {
		routes[i] = make([]netip.AddrPort, len(members))
		for j := range members {
			if i == j {
				continue
			}
			target, err := netip.ParseAddrPort(members[j].conn.LocalAddr().String())
			if err != nil {
				return nil, err
			}
			proxy, err := g.network.ForwardDatagrams(i, j, target)
			if err != nil {
				return nil, err
			}
			routes[i][j] = proxy
		}
	}
	return routes, nil
}

// prepareRouter writes the bootstrap file, the configuration file and the key file of a router.
func (g *RouterGroup) prepareRouter(
	i int, members []clusterMember, routes []netip.AddrPort, maxByzantine int,
) error {
	zone := 1 + i%2
	router, err := g.Cluster.PrepareRouter(zone)
	if err != nil {
		return err
	}
	directory := filepath.Join(g.options.Directory, router.name)
	if err := os.Mkdir(directory, 0o700); err != nil {
		return err
	}
	keyFile := filepath.Join(g.options.Directory, router.name+".key")
	if err := os.WriteFile(keyFile, []byte(members[i].seed), 0o600); err != nil {
		return err
	}
	var roster []map[string]string
	for j := range members {
		entry := map[string]string{"name": members[j].Name, "key": members[j].publicKey}
		if j != i {
			entry["address"] = routes[j].String()
		}
		roster = append(roster, entry)
	}
	settings := map[string]any{
		"router": map[string]any{"socket": filepath.Join(directory, adminSocketName)},
		"peers": map[string]any{
			"listen":   members[i].conn.LocalAddr().String(),
			"zone":     zoneName(zone),
			"key_file": keyFile,
			"liars":    maxByzantine,
			"roster":   roster,
		},
	}
	router.configFile = filepath.Join(directory, ConfigFileName)
	if err := WriteConfigFile(router.configFile, settings); err != nil {
		return err
	}
	router.extraEnv = []string{environmentEntry}
	g.routers = append(g.routers, &peerRouter{Router: router, index: i})
	return nil
}

// addHostilePeer creates a hostile peer. Its attacks start when RouterGroup.Run runs the peer.
func (g *RouterGroup) addHostilePeer(i int, members []clusterMember, routes []netip.AddrPort) error {
	key, err := datagram.ParsePrivateKey(members[i].seed)
	if err != nil {
		return err
	}
	var identities []datagram.Identity
	for j := range members {
		identities = append(identities, members[j].Identity)
	}
	var endpoints []string
	for _, endpoint := range g.Cluster.Endpoints {
		endpoints = append(endpoints, endpoint.ID)
	}
	peer, err := standin.NewHostilePeer(standin.HostileConfig{
		Index:     i,
		Key:       key,
		Roster:    identities,
		Conn:      members[i].conn,
		Routes:    routes,
		Endpoints: endpoints,
		Seed:      g.options.Seed + uint64(i),
	})
	if err != nil {
		return err
	}
	g.HostilePeers = append(g.HostilePeers, peer)
	return nil
}

// startRouters starts all routers in parallel and waits until they are ready. It creates one client for each.
func (g *RouterGroup) startRouters(members []clusterMember) error {
	for i, router := range g.routers {
		_ = members[i].conn.Close() // frees the port for the router
		if err := g.Cluster.spawnRouter(router.Router); err != nil {
			return err
		}
	}
	for _, router := range g.routers {
		if err := g.Cluster.awaitRouter(router.Router); err != nil {
			return err
		}
		group := g.Cluster.NewClientGroup(router.Router, 1, 100*time.Millisecond)
		group.Seed += uint64(router.index)
		group.OnResponse = func(response standin.ClientResponse) { g.recordResponse(router, response) }
		g.ClientGroups = append(g.ClientGroups, group)
	}
	return nil
}

// Close stops all processes and the fault proxies. It resumes paused processes first, as a paused process does not
// react to SIGTERM.
func (g *RouterGroup) Close(r *report.Report) {
	for _, router := range g.routers {
		if router.cmd != nil {
			_ = router.cmd.Process.Signal(syscall.SIGCONT) // the process may have exited already
		}
	}
	g.Cluster.Close(r)
	g.network.Close()
}
