//go:build !linux

package clock

// System returns Monotonic. Whether it includes suspensions depends on the operating system.
func System() (Clock, error) { return Monotonic(), nil }
