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

// Verdict counts violations of the system's guarantees. SamplesRequested and SamplesDelivered are totals; every other
// count must be zero.
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
	// Examples describes the first few violations.
	Examples []string `json:"examples,omitempty"`
}

// Breaches returns the total number of violations.
func (verdict Verdict) Breaches() int {
	return verdict.SamplesLost + verdict.SamplesDuplicated + verdict.SamplesMislabelled + verdict.SamplesOverBound +
		verdict.NotRunButRan + verdict.NotRepeatableRanTwice + verdict.RequestsCutOff + verdict.AnswersWrong
}

const maxExamples = 10

func (verdict *Verdict) addExample(format string, arguments ...any) {
	if len(verdict.Examples) < maxExamples {
		verdict.Examples = append(verdict.Examples, fmt.Sprintf(format, arguments...))
	}
}

// Evidence is the input of the oracle: the log of the engines, and the results that trainers and callers received.
type Evidence struct {
	Begun    []platform.StartedRequest
	Produced []platform.ProducedChunk
	Received []ReceivedSample
	// Requested is the number of samples in the steps that trainers collected.
	Requested int
	Calls     []CallResult
	Bound     experiment.Bound
	// Outages lists when nodes were killed or unreachable. Interrupted calls to a node are permitted during its outages.
	Outages []Outage
}

// Outage is a period in which a node was killed or unreachable.
type Outage struct {
	Node     string // base URL
	From, To time.Time
}

// duringOutage reports whether the called node had an outage while the call was pending.
func (evidence Evidence) duringOutage(call CallResult) bool {
	return slices.ContainsFunc(evidence.Outages, func(outage Outage) bool {
		return outage.Node == call.Node && !call.Sent.After(outage.To) && !call.Sent.Add(call.Took).Before(outage.From)
	})
}

// tokenKey identifies a token by request, position and the version that generated it.
type tokenKey struct {
	request  string
	position int
	version  uint64
}

// producedToken is a token in the engines' log.
type producedToken struct {
	id   uint32
	text string
}

// Judge checks the received results against the engines' log. It shares no logic with the system under test, only the
// types of its answers.
func Judge(evidence Evidence) Verdict {
	verdict := Verdict{SamplesRequested: evidence.Requested}
	tokens := make(map[tokenKey]producedToken)
	for _, chunk := range evidence.Produced {
		texts := strings.SplitAfter(strings.TrimPrefix(chunk.Text, " "), " ")
		for index, token := range chunk.TokenIDs {
			tokens[tokenKey{chunk.RequestID, chunk.Position + index, chunk.Version}] = producedToken{token, strings.TrimSuffix(texts[index], " ")}
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
	judgeSamples(&verdict, evidence, tokens, firstBegun)
	judgeAnswers(&verdict, evidence, tokens, begun)
	return verdict
}

func judgeSamples(verdict *Verdict, evidence Evidence, tokens map[tokenKey]producedToken, firstBegun map[string]time.Time) {
	type slot struct {
		step string
		slot uint32
	}
	seen := make(map[slot]bool)
	for _, received := range evidence.Received {
		key := slot{received.Step, received.Body.Slot}
		if seen[key] {
			verdict.SamplesDuplicated++
			verdict.addExample("step %s slot %d was delivered twice", key.step, key.slot)
		}
		seen[key] = true
		sample := received.Body.Sample
		if !spansMatch(sample, tokens) {
			verdict.SamplesMislabelled++
			verdict.addExample("step %s slot %d: spans %v do not match the engines' log", key.step, key.slot, sample.Spans)
		}
		if exceedsBound(received, evidence.Bound, firstBegun) {
			verdict.SamplesOverBound++
			verdict.addExample("step %s slot %d exceeds the staleness bound: spans %v, newest version %d", key.step, key.slot, sample.Spans, received.NewestKnown)
		}
	}
	verdict.SamplesDelivered = len(seen)
	verdict.SamplesLost = evidence.Requested - len(seen)
}

// spansMatch reports whether an engine generated each token of the sample at its position with the version of its span.
func spansMatch(sample rollout.Sample, tokens map[tokenKey]producedToken) bool {
	covered := 0
	for _, span := range sample.Spans {
		for position := span.First; position <= span.Last; position++ {
			produced, ok := tokens[tokenKey{sample.RequestID, position, span.Version}]
			if !ok || position >= len(sample.TokenIDs) || produced.id != sample.TokenIDs[position] || position != covered {
				return false
			}
			covered++
		}
	}
	return covered == len(sample.TokenIDs) && covered > 0
}

// exceedsBound reports whether a sample exceeded the staleness bound when the trainer sent its fetch. Versions count from
// the newest version that the trainer had recorded by then. Age counts from when an engine began the rollout, with a
// tolerance of one second.
func exceedsBound(received ReceivedSample, bound experiment.Bound, firstBegun map[string]time.Time) bool {
	oldest := uint64(0)
	for index, span := range received.Body.Sample.Spans {
		if index == 0 || span.Version < oldest {
			oldest = span.Version
		}
	}
	if bound.HasVersions && received.NewestKnown > oldest && received.NewestKnown-oldest > bound.Versions {
		return true
	}
	return bound.Age > 0 && received.FetchSent.Sub(firstBegun[received.Body.Sample.RequestID]) > bound.Age+time.Second
}

func judgeAnswers(verdict *Verdict, evidence Evidence, tokens map[tokenKey]producedToken, begun map[string]int) {
	mayHaveRun := make(map[string]bool) // requests of which at least one call may have run
	notRun := make(map[string]bool)
	for _, call := range evidence.Calls {
		switch {
		case call.NotSent:
		case call.Interrupted && evidence.duringOutage(call):
			mayHaveRun[call.RequestID] = true
		case call.Interrupted:
			mayHaveRun[call.RequestID] = true
			verdict.RequestsCutOff++
			verdict.addExample("request %s to %s was interrupted", call.RequestID, call.Node)
		case call.Code.Class() == result.ClassDone:
			mayHaveRun[call.RequestID] = true
			if !answerMatches(call, tokens) {
				verdict.AnswersWrong++
				verdict.addExample("request %s: the answer does not match the engines' log", call.RequestID)
			}
		case call.Code.Class() == result.ClassNotRun:
			notRun[call.RequestID] = true
		default:
			mayHaveRun[call.RequestID] = true
		}
		if !call.Repeatable && begun[call.RequestID] > 1 {
			verdict.NotRepeatableRanTwice++
			verdict.addExample("request %s began %d times", call.RequestID, begun[call.RequestID])
		}
	}
	for requestID := range notRun {
		if !mayHaveRun[requestID] && begun[requestID] > 0 {
			verdict.NotRunButRan++
			verdict.addExample("request %s was reported as not run, but an engine began it", requestID)
		}
	}
}

// answerMatches reports whether the text of an answer equals the text in the engines' log for its spans.
func answerMatches(call CallResult, tokens map[tokenKey]producedToken) bool {
	var text strings.Builder
	next := 0
	for _, span := range call.Spans {
		for position := span.First; position <= span.Last; position++ {
			produced, ok := tokens[tokenKey{call.RequestID, position, span.Version}]
			if !ok || position != next {
				return false
			}
			text.WriteString(" ")
			text.WriteString(produced.text)
			next++
		}
	}
	return next > 0 && text.String() == call.Text
}
