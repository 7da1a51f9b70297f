package ciscripts

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// unreached runs .ci/unreached on a list of functions found and a list of functions known.
func unreached(t *testing.T, found, known string) (messages string, ok bool) {
	t.Helper()
	list := filepath.Join(t.TempDir(), "known.txt")
	require.NoError(t, os.WriteFile(list, []byte(known), 0o600))
	_, messages, ok = runScript(t, strings.NewReader(found), "../../.ci/unreached", list)
	return messages, ok
}

// TestUnreachedFunctionsAreHeldToTheList holds that CI fails on a function that no program reaches unless the list has
// it, and on a list with a function that is reached or gone: the list may only shrink.
func TestUnreachedFunctionsAreHeldToTheList(t *testing.T) {
	messages, ok := unreached(t, "p.B\np.T.A\n", "# a reason\np.T.A\n\np.B\n")
	assert.True(t, ok, messages)
	messages, ok = unreached(t, "", "# nothing\n")
	assert.True(t, ok, messages)

	messages, ok = unreached(t, "p.B\np.C\n", "p.B\n")
	assert.False(t, ok)
	assert.Equal(t, "no program reaches p.C: use it, move it into a test file, or remove it\n", messages)

	messages, ok = unreached(t, "p.B\n", "p.B\np.C\n")
	assert.False(t, ok)
	assert.Equal(t, "p.C is reached now, or gone: take it from known.txt\n", messages)
}
