// Package peers is a router's part among the routers of an installation: one UDP socket, one goroutine that owns the cores
// view, standing and rumour, and one that reads. What is decided is decided in those; here it is carried out. Design note:
// docs/peers.md.
package membership

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/partition"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"
)

// Bounds of the shell. What is tuned stands in the cores.
const (
	mostWaiting  = 1024                   // datagrams read and not yet looked into
	mostEnds     = 1024                   // ends of hops not yet looked into
	readBuffer   = 1 << 20                // bytes of the socket's buffer: a flood must not push out what others send
	pulseEvery   = 500 * time.Millisecond // between questions whether the router's own work goes on
	stillAfter   = 2 * time.Second        // without an answer to one it stands still
	tickEvery    = time.Second            // between looks at what has run out
	oldLifeEvery = time.Second            // between answers to datagrams of a peer's earlier life
	longestS     = 600                    // s, of the histogram of detection times
)

// ClockVariable shifts the clock that a router's life is named by, in seconds. The laboratory alone sets it.
const ClockOffsetVariable = "CAIRNFRONT_LAB_CLOCK_S"

// Known is one of the roster, as the operators' file has it.
type RosterEntry struct {
	Name    string
	Key     ed25519.PublicKey
	Address string // where it is reached; empty: as it says itself
}

// Plan is what a router is told of its peers.
type Config struct {
	Name, Zone                string
	Listen, Advertise         string
	Key                       ed25519.PrivateKey
	Roster                    []RosterEntry
	MaxByzantine              int
	ReceiveLimits, SendLimits ratelimit.Limits
	Seed                      uint64
}

// Node is one router among its peers.
type Node struct {
	// Pulse asks the router's own work to call back; Heed hears how far a member is doubted, for so many seconds. Both are
	// set before Run, and called from goroutines of the node.
	ProbeEventLoop func(done func())
	OnDoubt        func(member routing.EndpointID, doubt, s float64)

	plan  Config
	book  *telemetry.Metrics
	conn  *net.UDPConn
	base  time.Time
	me    swim.MemberID
	codec *datagram.Codec
	view  *swim.Core
	stand *partition.Tracker
	talk  *observation.Tracker
	out   *ratelimit.Limiter
	addrs []netip.AddrPort // by peer; of the file, or of the claim whose incarnation stands beside it
	ats   []swim.Incarnation
	fixed []bool
	old   []time.Time // when the earlier life of a peer was last answered

	in      chan []byte
	ends    chan end
	posts   chan func()
	gone    chan struct{}
	pulsed  chan struct{}
	asked   time.Time // when the work was asked to show itself; zero: it did
	silent  bool      // another process has our name
	detect  *hdrhistogram.Histogram
	began   float64
	inBytes [2]int64 // bytes and datagrams
	outAll  [2]int64
	dropped int64
}

type end struct {
	member routing.EndpointID
	says   observation.Health
}

// New opens a node's socket. Nothing is sent before Run.
func New(p Config, k *telemetry.Metrics) (*Node, error) {
	n := &Node{plan: p, book: k, base: time.Now(), me: -1, in: make(chan []byte, mostWaiting), ends: make(chan end, mostEnds),
		posts: make(chan func(), 16), gone: make(chan struct{}), pulsed: make(chan struct{}, 1), out: ratelimit.New(p.SendLimits),
		detect: hdrhistogram.New(1, longestS*1000, 2)}
	var people []datagram.Identity
	var marks []uint64
	for i, x := range p.Roster {
		people, marks = append(people, datagram.Identity{Name: x.Name, Key: x.Key}), append(marks, swim.NameHash(x.Name))
		if x.Name == p.Name {
			n.me = swim.MemberID(i)
		}
	}
	if n.me < 0 {
		return nil, fmt.Errorf("peers: this router's name %q is not in the roster", p.Name)
	}
	addr, err := net.ResolveUDPAddr("udp", p.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	if n.conn, err = net.ListenUDP("udp", addr); err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	_ = n.conn.SetReadBuffer(readBuffer)
	if p.Advertise == "" {
		p.Advertise = n.conn.LocalAddr().String()
	}
	if n.codec, err = datagram.New(n.me, p.Key, p.Advertise, p.Zone, people); err != nil {
		_ = n.conn.Close()
		return nil, fmt.Errorf("peers: %w", err)
	}
	n.grow(p.Roster)
	wall := time.Now()
	if s, err := strconv.ParseFloat(os.Getenv(ClockOffsetVariable), 64); err == nil {
		wall = wall.Add(time.Duration(s * float64(time.Second)))
	}
	start := uint64(wall.UnixMilli())
	birth := uint64(time.Now().UnixNano()) ^ uint64(os.Getpid())<<44
	n.view = swim.New(swim.Config{MaxByzantine: p.MaxByzantine}, n.me, marks, p.Seed, start, birth, 0)
	n.stand = partition.New(p.MaxByzantine, 0)
	n.talk = observation.New(n.me, p.Zone, p.MaxByzantine, start)
	return n, nil
}

// Addr is where the node listens.
func (n *Node) Addr() string { return n.conn.LocalAddr().String() }

func (n *Node) grow(roster []RosterEntry) {
	for i := len(n.addrs); i < len(roster); i++ {
		a, err := netip.ParseAddrPort(roster[i].Address)
		n.addrs, n.ats, n.fixed = append(n.addrs, a), append(n.ats, swim.Incarnation{}), append(n.fixed, err == nil)
		n.old = append(n.old, time.Time{})
	}
}

// now is the node's clock: seconds since it was made, on the clock that nobody sets.
func (n *Node) now() float64 { return time.Since(n.base).Seconds() }

// Ended tells how a hop to a member ended. It never waits.
func (n *Node) ReportAttempt(member routing.EndpointID, says observation.Health) {
	select {
	case n.ends <- end{member, says}:
	default:
		n.book.Add("peers.ends-untold", 1)
	}
}

// Run plays the node's part until the context ends; then it says goodbye.
func (n *Node) Run(ctx context.Context) error {
	defer close(n.gone)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return n.conn.SetReadDeadline(time.Unix(1, 0))
	})
	g.Go(func() error { return n.read(ctx) })
	g.Go(func() error { return n.own(ctx) })
	err := g.Wait()
	return errors.Join(err, n.conn.Close())
}

// read takes datagrams from the socket as long as their senders keep within the bounds.
func (n *Node) read(ctx context.Context) error {
	m := ratelimit.New(n.plan.ReceiveLimits)
	buf := make([]byte, datagram.MaxSize+1)
	for ctx.Err() == nil {
		size, from, err := n.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			continue // an answer of the network to something sent: the next read is another matter
		}
		if size > datagram.MaxSize || !m.AllowReceive(n.now(), from, size) {
			n.book.Add("peers.in.over", 1)
			continue
		}
		select {
		case n.in <- slices.Clone(buf[:size]):
		default:
			n.book.Add("peers.in.full", 1)
		}
	}
	return nil
}

// own is the goroutine that has the cores.
func (n *Node) own(ctx context.Context) error {
	bell, second, pulse := time.NewTimer(0), time.NewTicker(tickEvery), time.NewTicker(pulseEvery)
	defer bell.Stop()
	defer second.Stop()
	defer pulse.Stop()
	for {
		select {
		case <-ctx.Done():
			n.safely(n.leave)
			return nil
		case text := <-n.in:
			n.safely(func() { n.heard(text) })
		case e := <-n.ends:
			n.safely(func() { n.heed(n.talk.AttemptEnded(n.now(), e.member, e.says)) })
		case f := <-n.posts:
			n.safely(f)
		case <-pulse.C:
			n.safely(n.work)
		case <-n.pulsed:
			n.asked = time.Time{}
			n.safely(func() { n.act(n.view.SetWorking(n.now(), true)) })
		case <-second.C:
			n.safely(func() { n.heed(n.talk.Tick(n.now())) })
		case <-bell.C:
			n.safely(func() { n.act(n.view.Tick(n.now())) })
		}
		next := n.view.NextDeadline()
		if at := n.stand.NextDeadline(); at > 0 {
			next = min(next, at)
		}
		bell.Reset(max(time.Duration((next-n.now())*float64(time.Second)), time.Millisecond))
	}
}

func (n *Node) safely(f func()) {
	defer func() {
		if p := recover(); p != nil {
			n.book.Add("panics", 1)
			n.book.Log.Error("panic", "where", "peers", "what", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	f()
}

// work finds out whether the router's own work goes on.
func (n *Node) work() {
	if n.ProbeEventLoop == nil {
		return
	}
	switch {
	case n.asked.IsZero():
		n.asked = time.Now()
		go n.ProbeEventLoop(func() { // it may wait for a long time: the loop's queue can be full
			select {
			case n.pulsed <- struct{}{}:
			default:
			}
		})
	case time.Since(n.asked) > stillAfter:
		n.act(n.view.SetWorking(n.now(), false))
	}
}

func (n *Node) leave() {
	if !n.silent {
		n.act(n.view.Leave(n.now()))
	}
}

// heard takes a datagram.
func (n *Node) heard(text []byte) {
	if n.silent {
		return
	}
	n.inBytes[0] += int64(len(text))
	n.inBytes[1]++
	h, err := n.codec.Decode(text, n.view.IsNewer)
	if err != nil {
		n.book.Add("peers.refused."+reason(err), 1)
		if errors.Is(err, datagram.ErrStaleIncarnation) && time.Since(n.old[h.From]) > oldLifeEvery {
			n.old[h.From] = time.Now() // it may not know that it lived before: its own word tells it
			_, cl := n.view.Lookup(h.From)
			n.act([]swim.Action{swim.Send{To: h.From, Message: swim.Message{Kind: swim.Push, ViewHash: n.view.ViewHash(), Records: []swim.MemberRecord{cl}}}})
		}
		return
	}
	if h.Skipped > 0 {
		n.book.Add("peers.refused.part", int64(h.Skipped))
	}
	now := n.now()
	n.act(n.view.HandleMessage(now, h.From, h.Message))
	if s, _ := n.view.Lookup(h.From); s.Present() {
		n.stand.RecordViewComparison(now, h.From, n.view.ViewDiffers(now, h.From))
	}
	for _, r := range h.Observations {
		if s, _ := n.view.Lookup(r.Witness); s.Present() {
			heeds, _ := n.talk.HandleObservation(now, r)
			n.heed(heeds)
		}
	}
}

func reason(err error) string {
	for name, is := range map[string]error{"shape": datagram.ErrMalformed, "version": datagram.ErrUnsupportedVersion, "name": datagram.ErrUnknownMember, "not-me": datagram.ErrWrongRecipient,
		"signature": datagram.ErrBadSignature, "replay": datagram.ErrReplayed, "old-life": datagram.ErrStaleIncarnation} {
		if errors.Is(err, is) {
			return name
		}
	}
	return "other"
}

// heed tells the module of doubts, where the standing lets it believe what peers tell, and signs words that wait.
func (n *Node) heed(heeds []observation.Doubt) {
	now := n.now()
	s, _, _ := n.stand.Current()
	for _, h := range heeds {
		if h.Level > 0 && !s.TrustsReports() {
			continue
		}
		n.book.Add("peers.doubts", 1)
		n.book.Log.Info("member", "code", "doubted", "member", h.Endpoint, "doubt", fmt.Sprintf("%.2f", h.Level), "for_s", fmt.Sprintf("%.1f", max(h.Until-now, 0)))
		if n.OnDoubt != nil {
			n.OnDoubt(h.Endpoint, h.Level, max(h.Until-now, 0))
		}
	}
	for _, r := range n.talk.TakeUnsigned() {
		if !s.MayGossip() {
			continue
		}
		seal, err := n.codec.SignObservation(r)
		if err != nil {
			n.book.Log.Error("peers", "code", "unsealed", "err", err.Error())
			continue
		}
		r.Signed = seal
		n.book.Add("peers.rumours.own", 1)
		n.talk.Enqueue(r)
	}
}

// act carries out what the view asks for, and then sees how this router stands.
func (n *Node) act(actions []swim.Action) {
	now := n.now()
	for _, a := range actions {
		switch a := a.(type) {
		case swim.Send:
			n.send(now, a)
		case swim.StateChange:
			n.changed(a)
		case swim.NameConflict:
			n.silent = true
			n.book.Add("peers.yielded", 1)
			n.book.Log.Error("peers", "code", "twin", "what", "a newer process has this router's name; this one says nothing more to peers", "birth", a.InstanceID)
		}
	}
	there, roster, stuck := n.view.Counts()
	if n.silent {
		there = 1
	}
	before, _, _ := n.stand.Current()
	if n.stand.Update(now, partition.View{Roster: roster, Present: there, Stuck: stuck}) {
		s, epoch, _ := n.stand.Current()
		n.book.Add("peers.standing."+s.String(), 1)
		n.book.Log.Info("standing", "code", s.String(), "from", before.String(), "epoch", epoch, "there", there, "roster", roster, "stuck", stuck)
	}
}

func (n *Node) changed(c swim.StateChange) {
	name := n.codec.Name(c.Member)
	n.book.Add("peers.became."+c.To.String(), 1)
	args := []any{"code", c.To.String(), "peer", name, "from", c.From.String(), "why", c.Reason.String(), "life", c.Incarnation.StartMillis, "beat", c.Incarnation.Refutations}
	if c.To == swim.Failed && c.SuspectedSeconds > 0 {
		_ = n.detect.RecordValue(int64(c.SuspectedSeconds * 1000))
		args = append(args, "took_s", fmt.Sprintf("%.2f", c.SuspectedSeconds))
	}
	if !c.To.Present() {
		n.stand.Forget(c.Member)
	}
	n.book.Log.Info("peer", args...)
}

// where is a peer's address: of the file, else as it says itself.
func (n *Node) where(p swim.MemberID) (netip.AddrPort, bool) {
	if n.fixed[p] {
		return n.addrs[p], true
	}
	if _, cl := n.view.Lookup(p); n.ats[p] != cl.Incarnation && cl.Signed != nil {
		text, _ := datagram.RecordLocation(cl.Signed)
		if a, err := netip.ParseAddrPort(text); err == nil {
			n.addrs[p], n.ats[p] = a, cl.Incarnation
		}
	}
	return n.addrs[p], n.addrs[p].IsValid()
}

func (n *Node) send(now float64, a swim.Send) {
	to, ok := n.where(a.To)
	if !ok {
		return // nobody has told yet where it is
	}
	there, _, _ := n.view.Counts()
	var words [][]byte
	for _, r := range n.talk.Piggyback(a.To, there) {
		words = append(words, r.Signed)
	}
	text, err := n.codec.Encode(n.view.SelfRecord().Incarnation.StartMillis, a.To, a.Message, words)
	if err != nil {
		n.book.Log.Error("peers", "code", "unsent", "to", n.codec.Name(a.To), "err", err.Error())
		return
	}
	if !n.out.AllowSend(now, a.To, len(text), a.Kind >= swim.PushPullRequest) {
		n.dropped++
		n.book.Add("peers.out.over", 1)
		return
	}
	n.outAll[0] += int64(len(text))
	n.outAll[1]++
	_, _ = n.conn.WriteToUDPAddrPort(text, to) // what is lost is lost as on the way
}

// Line is a peer as operators see it.
type MemberReport struct {
	Name                  string   `json:"name"`
	State                 string   `json:"state"`
	SinceSeconds          float64  `json:"since_s"`
	StartMillis           uint64   `json:"life"`
	Refutations           uint32   `json:"beat"`
	Address               string   `json:"address"`
	Zone                  string   `json:"zone"`
	Accusers              []string `json:"accusers"`
	FailedProbes          int      `json:"own_fails"`
	RefutedAccusations    float64  `json:"wrong"` // of its charges against peers, fading
	ConfirmedAccusations  float64  `json:"right"`
	Silenced              bool     `json:"silenced"`
	ViewDiffers           bool     `json:"differs"` // it says that it sees others than we do
	RefutedObservations   float64  `json:"words_wrong"`
	ConfirmedObservations float64  `json:"words_right"`
	Trusted               bool     `json:"voice"`
}

// Doubt is a member as peers tell of it.
type EndpointDoubt struct {
	Endpoint  string   `json:"member"`
	Level     float64  `json:"doubt"`
	Witnesses []string `json:"witnesses"`
}

// Report is what a node knows.
type Report struct {
	Name                string          `json:"name"`
	PartitionState      string          `json:"standing"`
	Epoch               uint64          `json:"epoch"`
	SinceSeconds        float64         `json:"since_s"`
	Present             int             `json:"there"`
	Roster              int             `json:"roster"`
	Health              int             `json:"health"`
	Silent              bool            `json:"silent"`
	UptimeSeconds       float64         `json:"up_s"`
	InBytes             int64           `json:"in_bytes"`
	InDatagrams         int64           `json:"in_datagrams"`
	OutBytes            int64           `json:"out_bytes"`
	OutDatagrams        int64           `json:"out_datagrams"`
	SendsDropped        int64           `json:"held_back"`
	DetectionP50Seconds float64         `json:"detect_p50_s"`
	DetectionP99Seconds float64         `json:"detect_p99_s"`
	Detections          int64           `json:"detected"`
	Members             []MemberReport  `json:"peers"`
	Doubts              []EndpointDoubt `json:"doubts"`
}

// Report asks the node. It may be called from any goroutine.
func (n *Node) Report(ctx context.Context) (Report, error) {
	out := make(chan Report, 1)
	err := n.post(ctx, func() { out <- n.report() })
	if err != nil {
		return Report{}, err
	}
	select {
	case r := <-out:
		return r, nil
	case <-ctx.Done():
		return Report{}, errors.New("the node did not come to it in time")
	}
}

// Leave makes the node say goodbye; it stays silent until it is started anew.
func (n *Node) Leave(ctx context.Context) error {
	done := make(chan struct{})
	err := n.post(ctx, func() {
		n.leave()
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.New("the node did not come to it in time")
	}
}

// Follow takes a roster read anew: who is added has to stand behind the others; who is missing is left out.
func (n *Node) UpdateRoster(ctx context.Context, roster []RosterEntry) error {
	done := make(chan error, 1)
	err := n.post(ctx, func() { done <- n.follow(roster) })
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errors.New("the node did not come to it in time")
	}
}

func (n *Node) follow(roster []RosterEntry) error {
	all := slices.Clone(n.plan.Roster)
	listed := map[string]bool{}
	for _, x := range roster {
		listed[x.Name] = true
		i := slices.IndexFunc(all, func(o RosterEntry) bool { return o.Name == x.Name })
		switch {
		case i < 0:
			all = append(all, x)
		case !all[i].Key.Equal(x.Key):
			return fmt.Errorf("peers.roster: the key of %q can't change while the router runs: give the machine a new name", x.Name)
		default:
			all[i].Address = x.Address
		}
	}
	if !listed[n.plan.Name] {
		return fmt.Errorf("peers.roster: this router's name %q is not in it", n.plan.Name)
	}
	var people []datagram.Identity
	var marks []uint64
	for _, x := range all {
		people, marks = append(people, datagram.Identity{Name: x.Name, Key: x.Key}), append(marks, swim.NameHash(x.Name))
	}
	if err := n.codec.SetRoster(people); err != nil {
		return err
	}
	n.plan.Roster = all
	n.view.Grow(marks)
	n.grow(all)
	for i, x := range all {
		if a, err := netip.ParseAddrPort(x.Address); err == nil {
			n.addrs[i], n.fixed[i] = a, true
		}
		n.act(n.view.SetRemoved(n.now(), swim.MemberID(i), !listed[x.Name]))
		if !listed[x.Name] {
			n.talk.ForgetWitness(swim.MemberID(i))
		}
	}
	return nil
}

func (n *Node) post(ctx context.Context, f func()) error {
	select {
	case n.posts <- f:
		return nil
	case <-n.gone:
		return errors.New("the node has ended")
	case <-ctx.Done():
		return errors.New("the node did not come to it in time")
	}
}

func (n *Node) report() Report {
	now := n.now()
	s, epoch, since := n.stand.Current()
	there, roster, _ := n.view.Counts()
	r := Report{Name: n.plan.Name, PartitionState: s.String(), Epoch: epoch, SinceSeconds: now - since, Present: there, Roster: roster, Health: n.view.HealthScore(),
		Silent: n.silent, UptimeSeconds: now, InBytes: n.inBytes[0], InDatagrams: n.inBytes[1], OutBytes: n.outAll[0], OutDatagrams: n.outAll[1], SendsDropped: n.dropped,
		DetectionP50Seconds: float64(n.detect.ValueAtQuantile(50)) / 1000, DetectionP99Seconds: float64(n.detect.ValueAtQuantile(99)) / 1000,
		Detections: n.detect.TotalCount(), Members: []MemberReport{}, Doubts: []EndpointDoubt{}}
	for _, l := range n.view.Snapshot(now) {
		x := MemberReport{Name: n.codec.Name(l.Member), State: l.State.String(), SinceSeconds: now - l.Since, StartMillis: l.Incarnation.StartMillis, Refutations: l.Incarnation.Refutations, FailedProbes: l.FailedProbes,
			RefutedAccusations: l.RefutedAccusations, ConfirmedAccusations: l.ConfirmedAccusations, Silenced: l.Silenced, ViewDiffers: l.ViewDiffers, Accusers: []string{}}
		if a, ok := n.where(l.Member); ok {
			x.Address = a.String()
		}
		_, cl := n.view.Lookup(l.Member)
		_, x.Zone = datagram.RecordLocation(cl.Signed)
		if l.Member == n.me {
			x.Zone, x.Address = n.plan.Zone, n.conn.LocalAddr().String()
		}
		for _, p := range l.Accusers {
			x.Accusers = append(x.Accusers, n.codec.Name(p))
		}
		x.ConfirmedObservations, x.RefutedObservations, x.Trusted = n.talk.Reputation(l.Member)
		r.Members = append(r.Members, x)
	}
	slices.SortFunc(r.Members, func(a, b MemberReport) int { return strings.Compare(a.Name, b.Name) })
	for _, l := range n.talk.Snapshot(now) {
		d := EndpointDoubt{Endpoint: string(l.Endpoint), Level: l.Doubt}
		for i, p := range l.Witnesses {
			d.Witnesses = append(d.Witnesses, n.codec.Name(p)+": "+l.Healths[i].String())
		}
		r.Doubts = append(r.Doubts, d)
	}
	return r
}
