// Package history holds what clients of the ledger were told against what a ledger without faults could have told them: claims and
// reads of keys, each granted to the first group that asked.
package history

import (
	"time"

	"github.com/anishathalye/porcupine"
)

// Input is what was asked.
type Input struct {
	Read       bool
	Key, Group string
}

// Output is what was answered; not Known where nothing came, which may have been carried out or not.
type Output struct {
	Answered, Granted bool
	Group             string
}

// Unanswered is the time of return of what was not answered.
const Unanswered = 1 << 60

// Check says whether a history is linearizable; false too where that can't be told in the time.
func Linearizable(h []porcupine.Operation, within time.Duration) bool {
	return porcupine.CheckOperationsTimeout(model.ToModel(), h, within) == porcupine.Ok
}

var model = porcupine.NondeterministicModel{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[string][]porcupine.Operation{}
		for _, o := range h {
			by[o.Input.(Input).Key] = append(by[o.Input.(Input).Key], o)
		}
		var out [][]porcupine.Operation
		for _, l := range by {
			out = append(out, l)
		}
		return out
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		held, in, out := state.(string), input.(Input), output.(Output)
		switch {
		case in.Read && !out.Answered:
			return []any{held}
		case in.Read:
			if out.Granted == (held != "") && out.Group == held {
				return []any{held}
			}
			return nil
		case !out.Answered && held == "":
			return []any{held, in.Group}
		case !out.Answered:
			return []any{held}
		case held == "" && out.Granted && out.Group == in.Group:
			return []any{in.Group}
		case held != "" && out.Group == held && out.Granted == (in.Group == held):
			return []any{held}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}
