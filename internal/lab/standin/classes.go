package standin

// The request classes of a test cluster.
const (
	ClassVideoPart  = "video-part"
	ClassPageAsset  = "page-asset"
	ClassPrintOrder = "print-order"
	ClassRecord     = "record" // non-idempotent; only of loads and clusters that ask for it
)

// ClassObjectiveSeconds are the latency objectives of the classes.
var ClassObjectiveSeconds = map[string]float64{
	ClassVideoPart:  0.4,
	ClassPageAsset:  0.25,
	ClassPrintOrder: 0.6,
	ClassRecord:     0.6,
}

// KeyRetentionSeconds is for how long the origin and the stand-ins drop a repeat with the same idempotency key.
const KeyRetentionSeconds = 6.0
