// Package metering counts the requests of tenants that begin to run, and reports the counts of each window of time once. Every node tallies
// what it forwards, and tells its tallies at once to the collector, which is the node that holds the duty to report, and to a witness that
// does not share its fate. What is reported of a window is stored before it is first sent, so that whoever succeeds the collector sends the
// same.
package metering

import "time"

// Windows divides true time, from 1970 on, into windows of a length.
type Windows struct{ Length time.Duration }

// At returns the number of the window that holds a moment.
func (windows Windows) At(moment time.Time) int64 {
	return moment.UnixNano() / int64(windows.Length)
}

// End returns the moment at which a window ends.
func (windows Windows) End(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(windows.Length))
}
