package history

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
)

// sequence arranges operations one after the other.
func sequence(operations ...porcupine.Operation) []porcupine.Operation {
	for i := range operations {
		operations[i].Call = int64(2 * i)
		if operations[i].Return != Unanswered {
			operations[i].Return = int64(2*i + 1)
		}
	}
	return operations
}

func reserve(group string, granted bool, answered string) porcupine.Operation {
	return porcupine.Operation{
		Input:  Input{Key: "k", Group: group},
		Output: Output{Answered: true, Granted: granted, Group: answered},
	}
}

func read(found bool, answered string) porcupine.Operation {
	return porcupine.Operation{
		Input:  Input{Read: true, Key: "k"},
		Output: Output{Answered: true, Granted: found, Group: answered},
	}
}

func unanswered(group string) porcupine.Operation {
	return porcupine.Operation{Input: Input{Key: "k", Group: group}, Output: Output{}, Return: Unanswered}
}

// TestLinearizable runs the checker on histories that are known to be linearizable or not. If the
// checker accepted a lost grant, or a key granted to two groups, every other test of replication
// would pass with these faults.
func TestLinearizable(t *testing.T) {
	for name, test := range map[string]struct {
		history []porcupine.Operation
		want    bool
	}{
		"first group reserves the key": {
			sequence(reserve("a", true, "a"), reserve("b", false, "a"), read(true, "a")), true,
		},
		"same group is granted again":         {sequence(reserve("a", true, "a"), reserve("a", true, "a")), true},
		"unanswered reservation applied":      {sequence(unanswered("a"), reserve("b", false, "a")), true},
		"unanswered reservation not applied":  {sequence(unanswered("a"), reserve("b", true, "b")), true},
		"key granted to two groups":           {sequence(reserve("a", true, "a"), reserve("b", true, "b")), false},
		"grant lost":                          {sequence(reserve("a", true, "a"), read(false, "")), false},
		"read of a group that never reserved": {sequence(read(true, "a")), false},
		"stale read after a later one": {
			sequence(unanswered("a"), read(true, "a"), read(false, "")), false,
		},
	} {
		assert.Equal(t, test.want, Linearizable(test.history, time.Minute), name)
	}
}
