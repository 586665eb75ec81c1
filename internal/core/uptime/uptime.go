// Package uptime reads a clock that goes on while the VM is suspended, which the monotonic clock of the Go runtime does not.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliawalk/magnoliawalk/internal/core/errs"
)

// Clock returns the time since the VM started, including the time that it was suspended.
type Clock func() time.Duration

// New returns the clock of this VM. It returns an error of kind Internal if the system does not have one.
func New() (Clock, error) {
	if _, err := read(); err != nil {
		return nil, errs.New(errs.Internal, "reading the clock that counts suspension: %v", err)
	}
	return func() time.Duration {
		// A system that has this clock does not fail to read it.
		now, _ := read()
		return now
	}, nil
}

func read() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
