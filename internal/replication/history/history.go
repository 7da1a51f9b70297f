// Package history checks the answers that clients of a shard got against those that a shard without
// faults could have given.
//
// Its model is a register a key: the first group that reserves the key keeps it, and reads tell
// that group. It is for tests and simulations; it plays nothing itself.
package history

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"
)

// Input is what a client asked: to read a key, or to reserve it for a group.
type Input struct {
	Read       bool
	Key, Group string
}

// Output is the answer that the client got.
type Output struct {
	Answered bool // false where no answer came: the request may have been carried out or not
	Granted  bool
	Group    string
}

// Unanswered is the return time of an operation without an answer, after all others.
const Unanswered = 1 << 60

// Linearizable says whether a history is linearizable. It is false too where that was not found out
// within the timeout.
func Linearizable(operations []porcupine.Operation, timeout time.Duration) bool {
	return porcupine.CheckOperationsTimeout(model.ToModel(), operations, timeout) == porcupine.Ok
}

// model is the register of one key. Its state is the group that reserved the key, "" for none.
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

// valueAs is a value that porcupine keeps as any. It panics at another type: a caller that recorded one has a history
// that says nothing.
func valueAs[T any](value any) T {
	typed, ok := value.(T)
	if !ok {
		panic(fmt.Sprintf("history: a value of type %T instead of %T", value, typed))
	}
	return typed
}

// nextStates are the states in which an operation can leave the register, none where its output was
// not possible.
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
