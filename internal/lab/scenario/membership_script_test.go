package scenario

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestMembershipScriptMatchesGolden: figures of different versions compare only under the same faults. The scripts of
// the scenario membership stay byte for byte, at both sizes.
func TestMembershipScriptMatchesGolden(t *testing.T) {
	for _, full := range []bool{false, true} {
		for _, seed := range []uint64{1, 5} {
			text, err := json.MarshalIndent(membershipScript(Options{Seed: seed, Full: full}), "", " ")
			require.NoError(t, err)
			path := filepath.Join("testdata", fmt.Sprintf("peers-script-full-%v-seed-%d.json", full, seed))
			if *update {
				require.NoError(t, os.WriteFile(path, text, 0o600))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			assert.Equal(t, string(want), string(text), path)
		}
	}
}
