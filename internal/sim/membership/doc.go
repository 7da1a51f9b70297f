// Package membership runs the swim cores of many members on virtual time, with the fault scripts that the lab also
// carries out between processes: thousands of instances in one process. It owns the simulated network and the checks of
// state changes against what the script says is true. The same configuration gives the same events, byte for byte.
package membership
