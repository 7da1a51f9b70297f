package netconn

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// shortagePause lies between two tries of a call that failed for a temporary cause.
	shortagePause = 5 * time.Millisecond

	// shortageTimeout is how long a read, or a write without a time limit, is tried again.
	shortageTimeout = 6 * time.Second
)

// localShortages are the errors of socket, bind, connect, accept, send and recv that tell of this machine's own want,
// of descriptors, memory, ports or a route, or of an interrupted call. They say nothing of the other side, and the call
// may succeed a little later.
var localShortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH,
	syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EPERM, syscall.EACCES,
}

// IsLocalShortage says whether a call failed for a cause on this machine, see localShortages.
func IsLocalShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localShortages, errno)
}

// IsDescriptorShortage says whether a call found no descriptor or no memory for one.
func IsDescriptorShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localShortages[:4], errno)
}
