package wirenames

// LoadMetricName is the routing module's name of a value in a load report.
type LoadMetricName string

// The names of load metrics. The table lists their names in the protocols:
//
//	simulator    cache protocol   here
//	concurrent   inflight         LoadInFlight
//	load_share   util             LoadUtilization
//	x0           x0               LoadHitShare
//	x1           x1               LoadLinkUtilization
const (
	LoadInFlight        LoadMetricName = "inflight"  // requests in progress
	LoadUtilization     LoadMetricName = "util"      // CPU utilization of all cores, from 0 to 1
	LoadHitShare        LoadMetricName = "hit_share" // share of the recent requests that were cache hits, from 0 to 1
	LoadLinkUtilization LoadMetricName = "link_fill" // utilization of the zone's link; of a parent cache, its fetches
)

// loadMetricNames maps the protocol names that differ from the routing module's names.
var loadMetricNames = map[string]LoadMetricName{
	"concurrent": LoadInFlight,
	"load_share": LoadUtilization,
	"x0":         LoadHitShare,
	"x1":         LoadLinkUtilization,
}

// LoadMetric translates the name of a value in a load report. Unknown names are returned unchanged.
func LoadMetric(name string) LoadMetricName {
	if translated, ok := loadMetricNames[name]; ok {
		return translated
	}
	return LoadMetricName(name)
}
