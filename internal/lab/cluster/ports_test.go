package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestReusablePortsAreAssignedOnce: a restarted process binds its previous port again. If another process got that port
// in the meantime, the restart fails for a reason that the scenario did not cause. No port is assigned twice.
func TestReusablePortsAreAssignedOnce(t *testing.T) {
	assigned := map[int]bool{}
	for range 1000 {
		assigned[randomReusablePort()] = true
	}
	assert.Len(t, assigned, 1000)
}
