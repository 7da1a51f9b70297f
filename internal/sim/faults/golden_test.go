package faults

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"cairnfront/internal/golden"

	"github.com/stretchr/testify/require"
)

// formatScripts formats generated scripts, the datagram deliveries that they cause, and the scripts shrunk from them.
func formatScripts(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	for seed := range uint64(5) {
		script := Generate(seed, 12, 9, 70)
		text, err := json.Marshal(script)
		require.NoError(t, err)
		fmt.Fprintf(&out, "%s\n", text)

		rnd := rand.New(rand.NewPCG(seed, 3))
		for second := range 70 {
			from, to, time := second%12, (second*5+1)%12, float64(second)
			link := script.LinkAt(from, to, time)
			delays, corrupt := link.Deliver(rnd)
			fmt.Fprintf(&out, "%d %+v %.6f %t", second, link, delays, corrupt)
			fmt.Fprintf(&out, " running=%t working=%t", script.IsRunning(from, time), script.IsWorking(from, time))
			fmt.Fprintf(&out, " reachable=%d", script.ReachableCount(from, time))
			fmt.Fprintf(&out, " explained=%t\n", script.ExplainsUnreachable(from, 3, time, 2))
		}
		for _, transition := range script.Transitions() {
			fmt.Fprintf(&out, "%.6f end=%t %s\n", transition.Time, transition.IsEnd, transition.Fault)
		}
		hasKillAndLinkFault := func(s Script) bool {
			var kill, link bool
			for _, fault := range s.Faults {
				kill = kill || fault.Kind == Kill || fault.Kind == Pause
				link = link || fault.IsLinkFault()
			}
			return kill && link
		}
		shrunk, runs := Shrink(script, 100, hasKillAndLinkFault)
		text, err = json.Marshal(shrunk)
		require.NoError(t, err)
		fmt.Fprintf(&out, "shrunk in %d runs: %s\n", runs, text)
	}
	return out.String()
}

// TestGeneratedScriptsAreUnchanged fails if scripts that were printed in earlier reports would no longer replay
// identically.
func TestGeneratedScriptsAreUnchanged(t *testing.T) {
	golden.Compare(t, "scripts.golden", formatScripts(t))
}
