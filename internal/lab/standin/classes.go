package standin

// Request classes of a test cluster.
const (
	ClassVideoPart  = "video-part"
	ClassPageAsset  = "page-asset"
	ClassPrintOrder = "print-order"
	ClassRecord     = "record" // non-idempotent; only in loads and clusters that enable it
)

// ClassObjectiveSeconds are the latency objectives of the classes, in seconds.
var ClassObjectiveSeconds = map[string]float64{
	ClassVideoPart:  0.4,
	ClassPageAsset:  0.25,
	ClassPrintOrder: 0.6,
	ClassRecord:     0.6,
}

// KeyRetentionSeconds is how long the origin and the stand-ins remember an idempotency key and drop repeated requests
// with it.
const KeyRetentionSeconds = 6.0
