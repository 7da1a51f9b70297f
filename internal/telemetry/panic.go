package telemetry

import (
	"fmt"
	"runtime/debug"
)

// RecordPanic counts a panic that a component has recovered, and logs it with the caller's stack. The attributes are
// additional keys and values of the log line.
func (m *Metrics) RecordPanic(component Component, recovered any, attributes ...any) {
	m.Inc(Panics)
	line := []any{"component", component, "error", fmt.Sprint(recovered)}
	line = append(line, attributes...)
	line = append(line, "stack", string(debug.Stack()))
	m.Log.Error("panic recovered", line...)
}
