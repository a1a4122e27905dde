// Command standins runs one case of the review: it starts the project's programs over stand-ins for the platform, its replicas and its
// clients, disturbs them as the case says, and judges what the clients have seen. It exits with 1 if the rule was broken, 0 if it held, and
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(trouble bool, records *record) (broken bool, err error){
	"resent-job":       resentJob,
	"stop-in-takeover": stopInTakeover,
	"killed-twice":     killedTwice,
	"late-order":       lateOrder,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		os.Exit(exitNotRun)
	}
	records, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	records.note("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](trouble, records)
	switch {
	case err != nil:
		records.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		records.note("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	records.note("the rule held")
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
