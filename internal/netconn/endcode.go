package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
)

// EndCode says why a connection ended. Its text is the reason in the log line of a closed connection and in the
// label of the counter of closed connections; docs/oncall.md lists the texts. The zero value is that of a connection
// without a reason to end.
type EndCode uint8

// The end codes.
const (
	NoEndCode        EndCode = iota // nothing has asked for the end
	PeerClosed                      // the other side closed the connection
	PeerReset                       // the other side reset the connection, or closed it inside a frame
	ProtocolError                   // the input broke the protocol
	SlowReader                      // the other side did not take the output in time
	IdleTimeout                     // no request was open for the idle time
	NoFirstFrame                    // no complete frame came in time after the connection was made
	PartialFrame                    // a frame was begun and not completed in time
	Evicted                         // idle, and its descriptor was needed for another connection
	Unresponsive                    // no input although attempts were open
	StalledResponse                 // a response was begun and stopped
	ConnectFailed                   // the connection was never established
	EndpointRemoved                 // the endpoint left the endpoint list, or has another address
	ResourceLimit                   // descriptors or memory ran out
	Shutdown                        // the process ends
	MissedHeartbeats                // the discovery service sent no heartbeat in time
	SequenceGap                     // the numbers of the discovery service's events have a gap
	AddressChanged                  // the discovery service has another address
	Panic                           // this program panicked; the stack is in the log
	SocketError                     // any other error of the socket
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

// String returns the code's text in log lines and labels of counters.
func (c EndCode) String() string { return endCodeTexts[c] }

// ClassifyReadError returns the end code for an error of a read. A read deadline that passed has the code
// deadlinePassed: only the reader knows what the deadline was for.
func ClassifyReadError(err error, deadlinePassed EndCode) EndCode {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return deadlinePassed
	}
	return ClassifyError(err)
}

// ClassifyError returns the end code for an error of a write, or of a read without a deadline. A deadline that passed
// is that of a write.
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
