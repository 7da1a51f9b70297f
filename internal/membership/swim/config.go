package swim

// Config is what an installation sets, and what the lab sets to compare variants.
type Config struct {
	ProbeIntervalSeconds float64 // between two probes of a member; 0: defaultProbeInterval
	MaxByzantine         int     // members that may be byzantine at the same time
	// PublishedSWIM is SWIM as published, for comparison: fixed timeout, one accuser suffices, no health score.
	PublishedSWIM bool
}

// defaultProbeInterval is in seconds. A killed member is known to all within 3 s, at some 3 KB/s.
const defaultProbeInterval = 0.25
