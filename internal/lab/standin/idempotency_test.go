package standin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestKeysRunOnceAWindow: a stand-in that ran a key twice by itself would blame the router for a second effect. A key
// runs once within its window, and again after it.
func TestKeysRunOnceAWindow(t *testing.T) {
	o := IdempotencyRecords{}
	assert.Equal(
		t,
		[]bool{true, false, true, true},
		[]bool{
			o.ShouldRun("a", 1),
			o.ShouldRun("a", 1+KeyRetentionSeconds-0.1),
			o.ShouldRun("b", 2),
			o.ShouldRun("a", 1+KeyRetentionSeconds),
		},
	)
}
