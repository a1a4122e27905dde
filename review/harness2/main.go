// Command harness2 runs the scripted cases of a review. Each case starts the product's programs as separate processes on loopback
// addresses, with stand-ins for the platform, the replicas and the clients, and exits with 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	noTrouble = "0"
)

// scenario is one case. trouble is false if the disruption is left out.
type scenario struct {
	sizes sizes
	run   func(deployment *deployment, trouble bool) (int, string)
}

var scenarios = map[string]scenario{
	"acceptance": {sizes{fronts: 3, orderers: 3, engines: 3, applications: 3}, lostAcceptance},
	"leave":      {sizes{fronts: 3, orderers: 3, engines: 3, applications: 3}, lateLeave},
	"usage":      {sizes{fronts: 3, orderers: 3, engines: 1, applications: 3, tenants: true}, usageTwice},
	"text":       {sizes{fronts: 2, orderers: 1, engines: 2, applications: 3}, lineFeeds},
	"stop":       {sizes{fronts: 2, orderers: 3, engines: 2, applications: 3}, plannedStop},
}

// longestRun bounds a case.
const longestRun = 110 * time.Second

// stopWhenInterrupted ends all processes if the case is interrupted or takes too long.
func stopWhenInterrupted(deployment *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	deployment.record.note("the case is broken off")
	deployment.stop()
	os.Exit(couldNot)
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file to write what was sent, answered and run")
	binary := flag.String("binary", "target/thistlewalk-rollout", "the product's program")
	flag.Parse()
	chosen, known := scenarios[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return couldNot
	}
	record, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != noTrouble
	record.note("case %s, disruption: %v", *name, trouble)
	deployment, err := newDeployment(record, *binary, chosen.sizes)
	if deployment != nil {
		defer deployment.stop()
		go stopWhenInterrupted(deployment)
	}
	if err == nil {
		err = deployment.startAll()
	}
	if err != nil {
		record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	code, reason := chosen.run(deployment, trouble)
	record.note("verdict %d: %s", code, reason)
	deployment.stop() // before the output, whose reader may have gone
	fmt.Println(code, reason)
	return code
}
