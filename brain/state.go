package brain

// What a router keeps. Types only; what is done with them is decided in brain.go.

type part struct {
	no       int
	dt, last float64
	seen     bool // requested before
	near     bool // filled by a parent since its last purge
}

type object struct {
	group int
	parts []*part
	last  float64
}

// holding is a part that answers showed held at a cache. key orders by gap, largest gap first, at any time.
type holding struct {
	p                   *part
	kb, key, used, fill float64
	seq                 uint64
}

// gate bounds what this router has in flight at a member, a link or the way to the origin. It grows with
// answers in time, by one each up to what is proven, and shrinks with late and refused ones.
type gate struct{ room, proven, out, cut float64 }

type sample struct{ at, cost float64 }

type member struct {
	Row
	gate
	heard   float64 // last sign of life
	ends    []bool  // the last few ends laid to it, true for a failed one
	benched float64 // nothing is sent before this time if there is another
	strikes int     // times on the bench since it was last proven
	spent   []sample
	held    map[*part]*holding
	order   []*holding
	idles   []float64
}

type hop struct {
	to, source               *member
	gates                    []*gate
	rank                     int
	maxAge, sent, late, over float64
	sibling, fill, far       bool // filled by a sibling; thought to miss; thought to reach the origin
	wanted, begun, out, stop bool
	end                      Code
}

type txn struct {
	Arrival
	seq               uint64
	came, send, dense float64
	sla               float64 // the SLA time of its size
	p                 *part
	obj               *object
	unseen, held      bool
	hops              []*hop
	verdict           Action
	over              bool
	wake, armed       float64
}

type purge struct {
	Purge
	at float64
}

// Router decides for one instance.
type Router struct {
	rec     Records
	pcg     uint64
	now     float64
	acts    []Action
	members map[string]*member
	all     []*member // in order of their ids
	link    gate      // the location's link in
	txns    map[string]*txn
	bySeq   map[uint64]*txn
	queue   []*txn // held, densest in importance first
	seq     uint64
	objects map[string]*object
	swept   float64
	sizes   map[int][]float64
	purges  []purge
	started bool
}
