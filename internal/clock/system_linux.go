package clock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// System returns the clock that counts from the boot of the machine, including suspensions (CLOCK_BOOTTIME). It returns an
// error if that clock cannot be read.
func System() (Clock, error) {
	if _, err := sinceBoot(); err != nil {
		return nil, errors.Wrap(err, "read CLOCK_BOOTTIME")
	}
	return Func(func() time.Duration {
		elapsed, err := sinceBoot()
		if err != nil {
			panic(err) // unreachable: only a missing clock causes an error, and the first read succeeded
		}
		return elapsed
	}), nil
}

func sinceBoot() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, err
	}
	return time.Duration(now.Nano()), nil
}
