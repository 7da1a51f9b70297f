// Package history checks whether the answers that clients of a shard got are linearizable, that is,
// possible for a shard without faults.
//
// Its model is one register per key: the first group that reserves a key is recorded, and reads
// return that group. The package is for tests and simulations, and runs no operations itself.
package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Input is a client's operation: reading a key, or reserving it for a group.
type Input struct {
	Read       bool
	Key, Group string
}

// Output is the answer that the client received.
type Output struct {
	Answered bool // false if no answer arrived: the operation may or may not have been applied
	Granted  bool
	Group    string
}

// Unanswered is the return time of an operation without an answer. It is after all other times.
const Unanswered = 1 << 60

// Linearizable reports whether a history is linearizable. It also returns false if the check does
// not finish within the timeout.
func Linearizable(operations []porcupine.Operation, timeout time.Duration) bool {
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations, timeout) == porcupine.Ok
}

// model is the register of one key. Its state is the group that reserved the key, or "" if none
// did.
var model = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return nextStates(valueAs[string](state), valueAs[Input](input), valueAs[Output](output))
	},
	Equal: func(a, b any) bool { return a == b },
}

func partitionByKey(operations []porcupine.Operation) [][]porcupine.Operation {
	byKey := map[string][]porcupine.Operation{}
	for _, operation := range operations {
		key := valueAs[Input](operation.Input).Key
		byKey[key] = append(byKey[key], operation)
	}
	partitions := make([][]porcupine.Operation, 0, len(byKey))
	for _, partition := range byKey {
		partitions = append(partitions, partition)
	}
	return partitions
}

// valueAs converts a value that porcupine passes as any. It panics if the type differs, because the
// history was recorded incorrectly and cannot be checked.
func valueAs[T any](value any) T {
	typed, ok := value.(T)
	if !ok {
		panic(fmt.Sprintf("history: a value of type %T instead of %T", value, typed))
	}
	return typed
}

// nextStates returns the possible states of the register after an operation, or none if the
// operation's output is impossible.
func nextStates(reserved string, in Input, out Output) []any {
	if !out.Answered {
		if in.Read || reserved != "" {
			return []any{reserved}
		}
		return []any{reserved, in.Group}
	}
	if in.Read {
		return stateIf(out.Granted == (reserved != "") && out.Group == reserved, reserved)
	}
	if reserved == "" {
		return stateIf(out.Granted && out.Group == in.Group, in.Group)
	}
	return stateIf(out.Group == reserved && out.Granted == (in.Group == reserved), reserved)
}

func stateIf(possible bool, state string) []any {
	if !possible {
		return nil
	}
	return []any{state}
}
