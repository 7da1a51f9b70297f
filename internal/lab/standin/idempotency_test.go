package standin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestKeysRunOncePerWindow: if a stand-in executed a key twice by itself, the check would attribute the second effect
// to the router. A key is executed only once within its retention window, and is executed again after it.
func TestKeysRunOncePerWindow(t *testing.T) {
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
