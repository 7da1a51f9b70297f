package ciscripts

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runUnreached runs .ci/unreached with the functions found to be unreachable and the list of known unreachable
// functions.
func runUnreached(t *testing.T, found, known string) (messages string, ok bool) {
	t.Helper()
	list := filepath.Join(t.TempDir(), "known.txt")
	require.NoError(t, os.WriteFile(list, []byte(known), 0o600))
	_, messages, ok = runScript(t, strings.NewReader(found), "../../.ci/unreached", list)
	return messages, ok
}

// TestUnreachedFunctionsMustMatchTheList checks that CI fails if no program reaches a function that is not in the list,
// or if the list contains a function that is reached or was removed, so that the list can only shrink.
func TestUnreachedFunctionsMustMatchTheList(t *testing.T) {
	messages, ok := runUnreached(t, "p.B\np.T.A\n", "# a reason\np.T.A\n\np.B\n")
	assert.True(t, ok, messages)
	messages, ok = runUnreached(t, "", "# nothing\n")
	assert.True(t, ok, messages)

	messages, ok = runUnreached(t, "p.B\np.C\n", "p.B\n")
	assert.False(t, ok)
	assert.Equal(t, "no program reaches p.C: use it, move it into a test file, or remove it\n", messages)

	messages, ok = runUnreached(t, "p.B\n", "p.B\np.C\n")
	assert.False(t, ok)
	assert.Equal(t, "p.C is reached now, or gone: take it from known.txt\n", messages)
}
