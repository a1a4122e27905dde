package clock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// System returns the machine's clock since its boot (CLOCK_BOOTTIME). An error says that the system has none.
func System() (Clock, error) {
	if _, err := sinceBoot(); err != nil {
		return nil, errors.Wrap(err, "read the clock since boot")
	}
	return Func(func() time.Duration {
		elapsed, err := sinceBoot()
		if err != nil {
			panic(err) // it was there at the start, and has no other way to fail
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
