package lab

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestKeysRunOnceAWindow holds that a key runs once within its window, and again after it.
func TestKeysRunOnceAWindow(t *testing.T) {
	o := idempotencyRecords{}
	assert.Equal(
		t,
		[]bool{true, false, true, true},
		[]bool{
			o.shouldRun("a", 1),
			o.shouldRun("a", 1+keyRetentionSeconds-0.1),
			o.shouldRun("b", 2),
			o.shouldRun("a", 1+keyRetentionSeconds),
		},
	)
}
