package lab

// The request classes of a test cluster.
const (
	classVideoPart  = "video-part"
	classPageAsset  = "page-asset"
	classPrintOrder = "print-order"
	classRecord     = "record" // non-idempotent; only of loads and clusters that ask for it
)

// classObjectiveSeconds are the latency objectives of the classes.
var classObjectiveSeconds = map[string]float64{
	classVideoPart:  0.4,
	classPageAsset:  0.25,
	classPrintOrder: 0.6,
	classRecord:     0.6,
}

// keyRetentionSeconds is for how long the origin and the stand-ins drop a repeat with the same idempotency key.
const keyRetentionSeconds = 6.0
