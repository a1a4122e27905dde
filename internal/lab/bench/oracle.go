package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// Verdict counts the breaches of what must always hold. Every count but Delivered and Requested must be zero.
type Verdict struct {
	SamplesRequested      int `json:"samples_requested"`
	SamplesDelivered      int `json:"samples_delivered"`
	SamplesLost           int `json:"samples_lost"`
	SamplesDuplicated     int `json:"samples_duplicated"`
	SamplesMislabelled    int `json:"samples_mislabelled"`
	SamplesOverBound      int `json:"samples_over_bound"`
	NotRunButRan          int `json:"not_run_but_ran"`
	NotRepeatableRanTwice int `json:"not_repeatable_ran_twice"`
	RequestsCutOff        int `json:"requests_cut_off"`
	AnswersWrong          int `json:"answers_wrong"`
	// Examples names the first few breaches.
	Examples []string `json:"examples,omitempty"`
}

// Breaches returns the number of breaches.
func (verdict Verdict) Breaches() int {
	return verdict.SamplesLost + verdict.SamplesDuplicated + verdict.SamplesMislabelled + verdict.SamplesOverBound +
		verdict.NotRunButRan + verdict.NotRepeatableRanTwice + verdict.RequestsCutOff + verdict.AnswersWrong
}

const keptExamples = 10

func (verdict *Verdict) example(format string, arguments ...any) {
	if len(verdict.Examples) < keptExamples {
		verdict.Examples = append(verdict.Examples, fmt.Sprintf(format, arguments...))
	}
}

// Evidence is what the oracle judges: the engines' own log against what trainers and callers received.
type Evidence struct {
	Begun    []platform.Begun
	Produced []platform.Produced
	Received []Received
	// Requested is how many samples trainers asked for in steps that they collected.
	Requested int
	Told      []Told
	Bound     experiment.Bound
	// Excuses are when nodes were killed or out of callers' reach, so that their answers may be cut.
	Excuses []Excuse
}

// Excuse is a time in which the answers of the node at a base URL may be cut.
type Excuse struct {
	Node     string
	From, To time.Time
}

// excused reports whether the node was killed or out of reach while a caller waited.
func (evidence Evidence) excused(told Told) bool {
	return slices.ContainsFunc(evidence.Excuses, func(excuse Excuse) bool {
		return excuse.Node == told.Node && !told.Sent.After(excuse.To) && !told.Sent.Add(told.Took).Before(excuse.From)
	})
}

type place struct {
	request  string
	position int
	version  uint64
}

// word is one token with its text.
type word struct {
	id   uint32
	text string
}

// Judge compares the evidence. It uses nothing of the system but the shapes of its answers.
func Judge(evidence Evidence) Verdict {
	verdict := Verdict{SamplesRequested: evidence.Requested}
	words := make(map[place]word)
	for _, chunk := range evidence.Produced {
		texts := strings.SplitAfter(strings.TrimPrefix(chunk.Text, " "), " ")
		for index, token := range chunk.TokenIDs {
			words[place{chunk.RequestID, chunk.Position + index, chunk.Version}] = word{token, strings.TrimSuffix(texts[index], " ")}
		}
	}
	begun := make(map[string]int)
	firstBegun := make(map[string]time.Time)
	for _, begin := range evidence.Begun {
		begun[begin.RequestID]++
		if first, ok := firstBegun[begin.RequestID]; !ok || begin.At.Before(first) {
			firstBegun[begin.RequestID] = begin.At
		}
	}
	judgeSamples(&verdict, evidence, words, firstBegun)
	judgeAnswers(&verdict, evidence, words, begun)
	return verdict
}

func judgeSamples(verdict *Verdict, evidence Evidence, words map[place]word, firstBegun map[string]time.Time) {
	type slot struct {
		step string
		slot uint32
	}
	seen := make(map[slot]bool)
	for _, received := range evidence.Received {
		key := slot{received.Step, received.Body.Slot}
		if seen[key] {
			verdict.SamplesDuplicated++
			verdict.example("step %s slot %d came twice", key.step, key.slot)
		}
		seen[key] = true
		sample := received.Body.Sample
		if !labelsTrue(sample, words) {
			verdict.SamplesMislabelled++
			verdict.example("step %s slot %d: spans %v are not what engines produced", key.step, key.slot, sample.Spans)
		}
		if overBound(received, evidence.Bound, firstBegun) {
			verdict.SamplesOverBound++
			verdict.example("step %s slot %d: spans %v, newest %d", key.step, key.slot, sample.Spans, received.Newest)
		}
	}
	verdict.SamplesDelivered = len(seen)
	verdict.SamplesLost = evidence.Requested - len(seen)
}

// labelsTrue checks each token against what an engine produced at that place under that version.
func labelsTrue(sample rollout.Sample, words map[place]word) bool {
	covered := 0
	for _, span := range sample.Spans {
		for position := span.First; position <= span.Last; position++ {
			made, ok := words[place{sample.RequestID, position, span.Version}]
			if !ok || position >= len(sample.TokenIDs) || made.id != sample.TokenIDs[position] || position != covered {
				return false
			}
			covered++
		}
	}
	return covered == len(sample.TokenIDs) && covered > 0
}

// overBound checks against the newest version that the trainer surely had when it asked, and the time since an engine
// began the rollout.
func overBound(received Received, bound experiment.Bound, firstBegun map[string]time.Time) bool {
	oldest := uint64(0)
	for index, span := range received.Body.Sample.Spans {
		if index == 0 || span.Version < oldest {
			oldest = span.Version
		}
	}
	if bound.HasVersions && received.Newest > oldest && received.Newest-oldest > bound.Versions {
		return true
	}
	return bound.Age > 0 && received.Asked.Sub(firstBegun[received.Body.Sample.RequestID]) > bound.Age+time.Second
}

func judgeAnswers(verdict *Verdict, evidence Evidence, words map[place]word, begun map[string]int) {
	runs := make(map[string]bool) // requests of which some sending may have run
	notRun := make(map[string]bool)
	for _, told := range evidence.Told {
		switch {
		case told.NotSent:
		case told.Cut && evidence.excused(told):
			runs[told.RequestID] = true
		case told.Cut:
			runs[told.RequestID] = true
			verdict.RequestsCutOff++
			verdict.example("request %s to %s was cut off", told.RequestID, told.Node)
		case told.Code.Class() == result.ClassDone:
			runs[told.RequestID] = true
			if !answerTrue(told, words) {
				verdict.AnswersWrong++
				verdict.example("request %s: the answer is not what engines produced", told.RequestID)
			}
		case told.Code.Class() == result.ClassNotRun:
			notRun[told.RequestID] = true
		default:
			runs[told.RequestID] = true
		}
		if !told.Repeatable && begun[told.RequestID] > 1 {
			verdict.NotRepeatableRanTwice++
			verdict.example("request %s began %d times", told.RequestID, begun[told.RequestID])
		}
	}
	for requestID := range notRun {
		if !runs[requestID] && begun[requestID] > 0 {
			verdict.NotRunButRan++
			verdict.example("request %s was told not run and ran", requestID)
		}
	}
}

// answerTrue rebuilds the text of an answer from the engines' log by its spans.
func answerTrue(told Told, words map[place]word) bool {
	var text strings.Builder
	next := 0
	for _, span := range told.Spans {
		for position := span.First; position <= span.Last; position++ {
			made, ok := words[place{told.RequestID, position, span.Version}]
			if !ok || position != next {
				return false
			}
			text.WriteString(" ")
			text.WriteString(made.text)
			next++
		}
	}
	return next > 0 && text.String() == told.Text
}
