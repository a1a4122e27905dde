package main

import (
	"fmt"
	"strings"
	"time"
)

// Pieces of text that an engine makes, one an event. The second list has pieces that begin with a line feed.
var (
	plainPieces   = []string{"Dear Sir,", "your lease\nends in May.", "Yours,", "the clerk"}
	leadingPieces = []string{"Dear Sir,", "\n\nyour lease\nends in May.", "\nYours,", "the clerk"}
)

// writeData writes the data of an event as text/event-stream has it: each line of the data in a line of its own.
func writeData(builder *strings.Builder, data string) {
	for line := range strings.SplitSeq(data, "\n") {
		builder.WriteString("data: " + line + "\n")
	}
}

// lineFeeds: the text of some events begins with a line feed. Nothing else happens.
func lineFeeds(deployment *deployment, trouble bool) (int, string) {
	record, client := deployment.record, &client{deployment.record}
	pieces := plainPieces
	if trouble {
		pieces = leadingPieces
	}
	deployment.runs.setPieces(pieces)
	front := deployment.fronts[0].frontAddress()
	step := newJob(8, len(pieces), 60)
	if client.submit(front, step, trainerDeadline/3).status != 202 {
		return couldNot, "the batch job was not accepted"
	}
	read := client.follow(front, step, time.Now().Add(trainerDeadline))
	client.end(front, step.id, 4*time.Second)
	whole := strings.Join(pieces, "\n")
	wrong, completed := 0, 0
	for id, state := range read.listed {
		if state != "completed" {
			continue
		}
		completed++
		if read.texts[id] != whole {
			wrong++
			record.note("item %s is completed with %q, its replica made %q", id, read.texts[id], whole)
		}
	}
	switch {
	case completed == 0:
		return couldNot, "nothing was completed"
	case wrong > 0:
		return broken, fmt.Sprintf("MIXED: %d of %d completed results do not have the whole output of their items", wrong, completed)
	}
	return held, fmt.Sprintf("%d completed results have the whole output of their items", completed)
}
