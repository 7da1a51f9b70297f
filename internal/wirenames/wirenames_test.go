package wirenames

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSettingsAreTranslated(t *testing.T) {
	for _, c := range []struct{ path, value, wantPath, wantValue string }{
		{"request_classes.1.effect", "fragile", "remap.1.effect", "unrepeatable"},
		{"me", "2", "router", "2"},
		{"request_classes.count", "2", "remap.count", "2"},
		{"never.heard", "x", "never.heard", "x"},
	} {
		path, value := Setting(c.path, c.value)
		assert.Equal(t, [2]string{c.wantPath, c.wantValue}, [2]string{path, value})
	}
}

func TestUnknownClassFieldKeepsItsName(t *testing.T) {
	path, value := Setting("request_classes.0.deep.er", "x")
	assert.Equal(t, "remap.0.deep.er", path)
	assert.Equal(t, "x", value)
}

func TestLoadMetricsAreTranslated(t *testing.T) {
	assert.Equal(t, "inflight", LoadMetric("concurrent"))
	assert.Equal(t, "never_heard", LoadMetric("never_heard"))
}
