package lab

import (
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
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/sim/faults"
)

// fleetSize is the number of routers of a fleet.
const fleetSize = 20

// fleetRouter is one router of a fleet, and what its log says.
type fleetRouter struct {
	*routerProcess
	index           int
	peerEvents      []peerEvent
	partitionEvents []partitionEvent
}

// routerFleet is routers of the program that know each other, hostile peers among them, and a small test cluster
// around them. All datagrams between two of them pass a fault proxy.
type routerFleet struct {
	options      Options
	cluster      *testCluster
	script       faults.Script
	network      *faultproxy.Network
	networkStart time.Time
	routers      []*fleetRouter
	hostilePeers []*hostilePeer
	clientGroups []*clientGroup
	edgeCaches   []*clusterEndpoint
	names        []string // of routers and hostile peers, by index
	marks        []report.Mark

	mu          sync.Mutex // guards scriptStart while clients run
	scriptStart time.Time  // zero before the script begins
}

// fleetMember is what a router or a hostile peer needs to join a fleet.
type fleetMember struct {
	datagram.Identity
	seed      string       // of the private key
	publicKey string       // in text
	conn      *net.UDPConn // holds the port until the member takes it
}

// newRouterFleet starts a cluster of two zones, its routers and the hostile peers, and waits until all are ready.
func newRouterFleet(options Options, script faults.Script, hostilePeers int) (_ *routerFleet, err error) {
	cluster, err := newTestCluster(options, 2)
	if err != nil {
		return nil, err
	}
	fleet := &routerFleet{
		options:      options,
		cluster:      cluster,
		script:       script,
		network:      faultproxy.New(options.Seed, script.Processes),
		networkStart: time.Now(),
	}
	defer func() {
		if err != nil {
			fleet.close(nil)
		}
	}()
	if fleet.edgeCaches, err = cluster.startTwoZones(); err != nil {
		return nil, err
	}
	members, err := fleet.makeMembers(script.Processes)
	if err != nil {
		return nil, err
	}
	routes, err := fleet.makeRoutes(members)
	if err != nil {
		return nil, err
	}
	for i := range fleetSize {
		if err := fleet.prepareRouter(i, members, routes[i], hostilePeers); err != nil {
			return nil, err
		}
	}
	for i := fleetSize; i < len(members); i++ {
		if err := fleet.addHostilePeer(i, members, routes[i]); err != nil {
			return nil, err
		}
	}
	if err := fleet.startRouters(members); err != nil {
		return nil, err
	}
	return fleet, nil
}

// makeMembers makes names, keys and ports of the members.
func (fleet *routerFleet) makeMembers(n int) ([]fleetMember, error) {
	members := make([]fleetMember, n)
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
		fleet.names = append(fleet.names, member.Name)
	}
	return members, nil
}

// makeRoutes opens a relay for each way between two members: routes[i][j] is the address at which i reaches j.
func (fleet *routerFleet) makeRoutes(members []fleetMember) ([][]netip.AddrPort, error) {
	routes := make([][]netip.AddrPort, len(members))
	for i := range members {
		routes[i] = make([]netip.AddrPort, len(members))
		for j := range members {
			if i == j {
				continue
			}
			target := members[j].conn.LocalAddr().(*net.UDPAddr).AddrPort()
			relay, err := fleet.network.ForwardDatagrams(i, j, target)
			if err != nil {
				return nil, err
			}
			routes[i][j] = relay
		}
	}
	return routes, nil
}

// prepareRouter writes the settings, the operators' file and the key of a router.
func (fleet *routerFleet) prepareRouter(i int, members []fleetMember, routes []netip.AddrPort, maxByzantine int) error {
	zone := 1 + i%2
	router, err := fleet.cluster.prepareRouter(zone)
	if err != nil {
		return err
	}
	directory := filepath.Join(fleet.options.Directory, router.name)
	if err := os.Mkdir(directory, 0o700); err != nil {
		return err
	}
	keyFile := filepath.Join(fleet.options.Directory, router.name+".key")
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
	operators := map[string]any{
		"router": map[string]any{"socket": filepath.Join(directory, "door")},
		"peers": map[string]any{
			"listen":   members[i].conn.LocalAddr().String(),
			"zone":     fmt.Sprintf("campus-%d", zone),
			"key_file": keyFile,
			"liars":    maxByzantine,
			"roster":   roster,
		},
	}
	router.operatorsFile = filepath.Join(directory, "operators.yaml")
	if err := writeOperatorsFile(router.operatorsFile, operators); err != nil {
		return err
	}
	router.extraEnv = []string{environmentVariable}
	fleet.routers = append(fleet.routers, &fleetRouter{routerProcess: router, index: i})
	return nil
}

// addHostilePeer makes a hostile peer. It runs when the fleet does.
func (fleet *routerFleet) addHostilePeer(i int, members []fleetMember, routes []netip.AddrPort) error {
	key, err := datagram.ParsePrivateKey(members[i].seed)
	if err != nil {
		return err
	}
	var identities []datagram.Identity
	for j := range members {
		identities = append(identities, members[j].Identity)
	}
	var endpoints []string
	for _, endpoint := range fleet.cluster.endpoints {
		endpoints = append(endpoints, endpoint.id)
	}
	peer, err := newHostilePeer(i, key, identities, members[i].conn, endpoints, fleet.options.Seed+uint64(i))
	if err != nil {
		return err
	}
	peer.routes = routes
	fleet.hostilePeers = append(fleet.hostilePeers, peer)
	return nil
}

// startRouters starts all routers at once and waits until they are ready. Each gets a client.
func (fleet *routerFleet) startRouters(members []fleetMember) error {
	for i, router := range fleet.routers {
		_ = members[i].conn.Close()
		if err := fleet.cluster.spawnRouter(router.routerProcess); err != nil {
			return err
		}
	}
	for _, router := range fleet.routers {
		if err := fleet.cluster.awaitRouter(router.routerProcess); err != nil {
			return err
		}
		group := fleet.cluster.newClientGroup(router.routerProcess, 1, 100*time.Millisecond)
		group.seed += uint64(router.index)
		group.onResponse = func(response clientResponse) { fleet.recordResponse(router, response) }
		fleet.clientGroups = append(fleet.clientGroups, group)
	}
	return nil
}

// close ends all processes and the relays. Paused processes are continued, as they could not end otherwise.
func (fleet *routerFleet) close(r *report.Report) {
	for _, router := range fleet.routers {
		if router.cmd != nil {
			_ = router.cmd.Process.Signal(syscall.SIGCONT)
		}
	}
	fleet.cluster.close(r)
	fleet.network.Close()
}
