package wirenames

// LoadMetricName is the name of a value in a load report, as the routing module has it.
type LoadMetricName string

// The names of load metrics. The wires call them:
//
//	simulator    cache protocol   here
//	concurrent   inflight         LoadInFlight
//	load_share   util             LoadUtilization
//	x0           x0               LoadHitShare
//	x1           x1               LoadLinkUtilization
const (
	LoadInFlight        LoadMetricName = "inflight"  // requests in progress
	LoadUtilization     LoadMetricName = "util"      // share of the cores' time in use, from 0 to 1
	LoadHitShare        LoadMetricName = "hit_share" // share of the recent requests that were hits, from 0 to 1
	LoadLinkUtilization LoadMetricName = "link_fill" // share of the zone's link in use; at a parent cache, fetches
)

// loadMetricNames maps the words of the wires that differ from the names here.
var loadMetricNames = map[string]LoadMetricName{
	"concurrent": LoadInFlight,
	"load_share": LoadUtilization,
	"x0":         LoadHitShare,
	"x1":         LoadLinkUtilization,
}

// LoadMetric translates the name of a value in a load report. Unknown names stay as they are.
func LoadMetric(name string) LoadMetricName {
	if translated, ok := loadMetricNames[name]; ok {
		return translated
	}
	return LoadMetricName(name)
}
