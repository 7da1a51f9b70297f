package swim

// Config holds the settings of the membership protocol, and those that the lab changes to compare protocol variants.
type Config struct {
	ProbeIntervalSeconds float64 // time between scheduled probes; 0 means defaultProbeInterval
	MaxByzantine         int     // maximum number of simultaneously byzantine members
	// PublishedSWIM selects SWIM as published, for comparison: a fixed suspicion timeout, a single accuser
	// suffices, and there is no health score.
	PublishedSWIM bool
}

// defaultProbeInterval is in seconds. With it, all members detect a killed member within 3 s, at about 3 KB/s of
// traffic.
const defaultProbeInterval = 0.25
