package scenario

import (
	"encoding/json"
	"fmt"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/require"
)

// TestMembershipScriptMatchesGolden: figures of different versions are comparable only under the same faults. The
// scripts of the scenario membership must stay identical byte for byte, at both sizes.
func TestMembershipScriptMatchesGolden(t *testing.T) {
	for _, full := range []bool{false, true} {
		for _, seed := range []uint64{1, 5} {
			text, err := json.MarshalIndent(membershipScript(Options{Seed: seed, Full: full}), "", " ")
			require.NoError(t, err)
			golden.Compare(t, fmt.Sprintf("peers-script-full-%v-seed-%d.json", full, seed), string(text))
		}
	}
}
