// Package metering counts the requests of each tenant that start running, and sends one usage report for each window of time. Every node
// keeps tallies of the requests that it forwards, and sends the tallies without delay to two other nodes: to the collector, which currently
// sends the reports, and to a witness, which is unlikely to fail together with the sender. The report of a window is stored before it is
// first sent, so that a successor of the collector sends the same report.
package metering

import "time"

// Windows divides the time since 1970 into numbered windows of equal length.
type Windows struct{ Length time.Duration }

// At returns the number of the window that contains a moment.
func (windows Windows) At(moment time.Time) int64 {
	return moment.UnixNano() / int64(windows.Length)
}

// End returns the moment at which a window ends.
func (windows Windows) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(windows.Length))
}
