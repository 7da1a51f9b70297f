package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// EndCode is the reason for which a connection ended. Its text is the reason in the log line of a closed connection and
// in the label of the counter of closed connections; docs/oncall.md lists the texts. The zero value means that no
// reason was recorded.
type EndCode uint8

// The end codes.
const (
	NoEndCode        EndCode = iota // no reason was recorded
	PeerClosed                      // the peer closed the connection
	PeerReset                       // the peer reset the connection, or closed it after part of a ReadFull
	ProtocolError                   // the input violated the protocol
	SlowReader                      // the peer did not read the output in time
	IdleTimeout                     // no complete input from the client, or no open attempt, for the idle timeout
	NoFirstFrame                    // no complete frame arrived in time after the connection was established
	PartialFrame                    // a frame began and was not completed in time
	Evicted                         // it was idle, and its descriptor was needed for another connection
	Unresponsive                    // no input arrived although attempts were open
	StalledResponse                 // a response began and then stalled
	ConnectFailed                   // the connection was never established
	EndpointRemoved                 // the endpoint was removed from the endpoint list, or its address changed
	ResourceLimit                   // too many clients, or a local dial error, such as no descriptors or memory
	Shutdown                        // the process shuts down
	MissedHeartbeats                // the discovery service sent no data in time, not even a heartbeat
	SequenceGap                     // the discovery service's revisions have a gap or restarted
	AddressChanged                  // the address of the discovery service changed
	Panic                           // this program panicked; the stack is in the log
	SocketError                     // any other socket error
)

var endCodeTexts = [...]string{
	NoEndCode:        "",
	PeerClosed:       "peer_closed",
	PeerReset:        "peer_reset",
	ProtocolError:    "protocol_error",
	SlowReader:       "slow_reader",
	IdleTimeout:      "idle_timeout",
	NoFirstFrame:     "no_first_frame",
	PartialFrame:     "partial_frame",
	Evicted:          "evicted",
	Unresponsive:     "unresponsive",
	StalledResponse:  "stalled_response",
	ConnectFailed:    "connect_failed",
	EndpointRemoved:  "endpoint_removed",
	ResourceLimit:    "resource_limit",
	Shutdown:         "shutdown",
	MissedHeartbeats: "missed_heartbeats",
	SequenceGap:      "sequence_gap",
	AddressChanged:   "address_changed",
	Panic:            "panic",
	SocketError:      "socket_error",
}

// String returns the code's text in log lines and counter labels.
func (c EndCode) String() string { return endCodeTexts[c] }

// ClassifyReadError returns the end code for a read error. If a read deadline has passed, it returns deadlinePassed, as
// only the reader knows what the deadline was for.
func ClassifyReadError(err error, deadlinePassed EndCode) EndCode {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return deadlinePassed
	}
	return ClassifyError(err)
}

// ClassifyError returns the end code for a write error, or for the error of a read without a deadline. A deadline that
// has passed is taken for a write deadline.
func ClassifyError(err error) EndCode {
	switch {
	case errors.Is(err, io.EOF):
		return PeerClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrUnexpectedEOF):
		return PeerReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return SlowReader
	case errors.Is(err, ErrLineTooLong):
		return ProtocolError
	case errors.Is(err, context.Canceled), errors.Is(err, net.ErrClosed):
		return Shutdown
	}
	return SocketError
}
