package batchlog_test

import (
	"testing"
	"testing/synctest"
)

// bubble is the test that synctest bubbles of drawn histories belong to.
var bubble *testing.T

// synctestRun runs a function in modelled time.
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
