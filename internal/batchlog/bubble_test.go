package batchlog_test

import (
	"testing"
	"testing/synctest"
)

// bubble is the test whose synctest bubbles run the random histories.
var bubble *testing.T

// synctestRun runs a function under a simulated clock and passes on its panic.
func synctestRun(run func()) {
	var failure any
	synctest.Test(bubble, func(*testing.T) {
		defer func() { failure = recover() }()
		run()
	})
	if failure != nil {
		panic(failure)
	}
}
