package wirenames

import (
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// Guards against a setting that is not translated: the routing module would not know it and would use the default
// without an error. Settings must be translated to the names of the routing module.
func TestSettingsAreTranslated(t *testing.T) {
	for _, c := range []struct {
		path, value string
		wantName    routing.SettingName
		wantValue   string
	}{
		{
			"request_classes.1.effect", "fragile",
			routing.ClassSetting(1, routing.ClassEffect), string(routing.NonIdempotent),
		},
		{"me", "2", routing.SettingRouter, "2"},
		{"request_classes.count", "2", routing.SettingClassCount, "2"},
		{"extra.sideways", "location", routing.SettingPeerCaches, routing.PeerCachesInZone},
		{"stats.source", "on_probe", routing.SettingLoadReportSource, routing.LoadFromProbes},
		{"never.heard", "x", "never.heard", "x"},
	} {
		name, value := Setting(c.path, c.value)
		assert.Equal(t, c.wantName, name)
		assert.Equal(t, c.wantValue, value)
	}
}

// A value must be translated only for the setting to which the translation belongs.
func TestValuesOfOtherSettingsStayAsTheyAre(t *testing.T) {
	for _, path := range []string{"zones", "request_classes.0.name", "request_classes.0.deep.er"} {
		for _, word := range []string{"location", "fragile", "inline"} {
			_, value := Setting(path, word)
			assert.Equal(t, word, value, path)
		}
	}
}

// Settings that are not translated have the same name in the routing module. Guards against two settings that get the
// same name: such a name must not equal a translated one, and no two settings may be translated to the same name.
func TestNamesDoNotCollide(t *testing.T) {
	paths := map[routing.SettingName]string{}
	add := func(path string) {
		name, _ := Setting(path, "")
		assert.Empty(t, paths[name], "%s and %s are both %s", path, paths[name], name)
		paths[name] = path
	}
	for path := range settingNames {
		add(path)
	}
	for field := range classFieldNames {
		add("request_classes.0." + field)
	}
	for _, path := range []string{
		"clients.marks_retry", "domain_type", "extra.origin_bears_s", "extra.origin_stops_at", "extra.report_x0",
		"extra.report_x1", "flavors", "goal.whole", "layer", "limits.cpu_us_per_request", "limits.cpu_us_per_s",
		"limits.most_held", "limits.peer_messages", "over_share_worth", "prices.connection", "prices.waste",
		"request_classes.0.name", "request_classes.0.streaming", "stats.names", "tenants.0.allowance_per_s",
		"tenants.0.name", "tenants.0.portion", "tenants.count", "tiers", "weights", "worth_by", "zones",
	} {
		add(path)
	}
}

// Newer deployments send fields that are unknown to this version. Such a field must keep its name and its value.
func TestUnknownClassFieldKeepsItsName(t *testing.T) {
	name, value := Setting("request_classes.0.deep.er", "x")
	assert.Equal(t, routing.ClassSetting(0, "deep.er"), name)
	assert.Equal(t, "x", value)
}

// Guards against a load metric that is not translated: it would be ignored, and an overloaded cache would seem idle.
// Each load metric must be translated to the name of the routing module.
func TestLoadMetricsAreTranslated(t *testing.T) {
	for word, want := range map[string]LoadMetricName{
		"concurrent": "inflight", "inflight": LoadInFlight,
		"load_share": "util", "util": LoadUtilization,
		"x0": "hit_share", "x1": "link_fill",
		"never_heard": "never_heard",
	} {
		assert.Equal(t, want, LoadMetric(word), word)
	}
	assert.Equal(t, LoadHitShare, LoadMetric("x0"))
	assert.Equal(t, LoadLinkUtilization, LoadMetric("x1"))
}
