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

// descriptorShortages are the errors of a call that found no descriptor, or no memory for one.
var descriptorShortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// otherShortages are the other errors of socket, bind, connect, accept, send and recv that tell of this machine's own
// want, of ports or a route, or of an interrupted call.
var otherShortages = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EPERM,
	syscall.EACCES,
}

// IsLocalShortage says whether a call failed for a cause on this machine: it says nothing of the other side, and the
// call may succeed a little later.
//
// It guards against endpoints that are ejected, and connections that are given up, for a want of this machine. That
// would show as ejections of many endpoints at once.
func IsLocalShortage(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	return slices.Contains(descriptorShortages, errno) || slices.Contains(otherShortages, errno)
}

// IsDescriptorShortage says whether a call found no descriptor or no memory for one.
func IsDescriptorShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(descriptorShortages, errno)
}
