//go:build !linux

package clock

// System returns Steady. Whether it includes suspensions depends on the operating system.
func System() (Clock, error) { return Steady(), nil }
