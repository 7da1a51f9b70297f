package netconn

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// localErrorRetryDelay is the delay before a call that failed for a temporary cause is retried.
	localErrorRetryDelay = 5 * time.Millisecond

	// localErrorTimeout is how long a read, or a write without a time limit, is retried.
	localErrorTimeout = 6 * time.Second
)

// descriptorShortages are the errors of a call for which no descriptor, or no memory for one, was available.
var descriptorShortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// otherLocalErrors are the other errors of socket, bind, connect, accept, send and recv whose cause is on this machine:
// no port or no route is available, the call is not permitted, or it was interrupted.
var otherLocalErrors = []syscall.Errno{
	syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN, syscall.EINTR, syscall.EPERM,
	syscall.EACCES,
}

// IsLocalError reports whether a call failed for a cause on this machine. Such an error says nothing about the peer,
// and the call may succeed shortly afterwards.
//
// It guards against ejecting endpoints, and closing connections, because of a shortage on this machine. That would show
// as simultaneous ejections of many endpoints.
func IsLocalError(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	return slices.Contains(descriptorShortages, errno) || slices.Contains(otherLocalErrors, errno)
}

// IsDescriptorShortage reports whether a call failed because no descriptor, or no memory for one, was available.
func IsDescriptorShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(descriptorShortages, errno)
}
