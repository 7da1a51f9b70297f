package verify

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"time"
)

// maxLogLineBytes is the maximum length of a line in a router's log.
const maxLogLineBytes = 1 << 20

// peerEvent is a log line of a router about a peer.
type peerEvent struct {
	at          float64 // seconds since the start of the script
	peer        int
	state       string
	incarnation uint64
}

// partitionEvent is a log line of a router about its own partition state.
type partitionEvent struct {
	at    float64 // seconds since the start of the script
	state string
}

// RouterLog is a router's view of its peers over time, as read from its log.
type RouterLog struct {
	name            string
	index           int // index of the router among the script's processes
	peerEvents      []peerEvent
	partitionEvents []partitionEvent
}

// ReadRouterLog reads the log of a router. The map peers has the index of each peer by name.
func ReadRouterLog(path, name string, index int, peers map[string]int, scriptStart time.Time) (*RouterLog, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read the log of %s: %w", name, err)
	}
	defer func() { _ = file.Close() }() // the file was only read
	log := &RouterLog{name: name, index: index}
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		fields := logFields(lines.Text())
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			continue // not a log line; for example a line of a stack trace
		}
		log.addLogLine(fields, at.Sub(scriptStart).Seconds(), peers)
	}
	return log, nil
}

// addLogLine records a line about a peer, the partition state or a panic.
func (log *RouterLog) addLogLine(fields map[string]string, at float64, peers map[string]int) {
	switch fields["msg"] {
	case "peer state changed":
		event := peerEvent{at: at, peer: peers[fields["peer"]], state: fields["state"]}
		_, _ = fmt.Sscan(fields["incarnation"], &event.incarnation) // 0 if the line has no incarnation
		log.peerEvents = append(log.peerEvents, event)
	case "partition state changed":
		log.partitionEvents = append(log.partitionEvents, partitionEvent{at: at, state: fields["state"]})
	case "panic recovered":
		log.peerEvents = append(log.peerEvents, peerEvent{at: at, state: statePanic})
	}
}

// logFields parses the key=value pairs of a log line. A value with spaces is in quotes.
func logFields(line string) map[string]string {
	fields := map[string]string{}
	for line != "" {
		key, rest, found := strings.Cut(line, "=")
		if !found {
			return fields
		}
		var value string
		if strings.HasPrefix(rest, `"`) {
			end := strings.Index(rest[1:], `"`)
			if end < 0 {
				return fields
			}
			value, rest = rest[1:end+1], strings.TrimPrefix(rest[end+2:], " ")
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		fields[strings.TrimSpace(key)] = value
		line = rest
	}
	return fields
}

// isPresent reports whether a peer in a state counts as running.
func isPresent(state string) bool {
	return state == stateAlive || state == stateSuspect || state == stateStuck
}

// peerStateAt returns the state of a peer in the router's view at a time of the script.
func (log *RouterLog) peerStateAt(peer int, at float64) string {
	state := stateUnknown
	for _, event := range log.peerEvents {
		if event.at > at {
			break
		}
		if event.peer == peer {
			state = event.state
		}
	}
	return state
}

// partitionStateAt returns a router's partition state at a time of the script.
func (log *RouterLog) partitionStateAt(at float64) string {
	state := partitionAlone
	for _, event := range log.partitionEvents {
		if event.at > at {
			break
		}
		state = event.state
	}
	return state
}
