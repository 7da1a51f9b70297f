// Package membership simulates thousands of SWIM members in one process on virtual time, with the same fault scripts
// that the lab runs between real processes. It contains the simulated network and checks each state change against the
// faults in the script. The same configuration produces exactly the same sequence of events.
package membership
