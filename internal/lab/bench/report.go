package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Percentiles summarizes a distribution.
type Percentiles struct {
	P50 int64 `json:"p50"`
	P99 int64 `json:"p99"`
	Max int64 `json:"max"`
}

// Outcomes counts the results of calls by class. NotRepeatableSends counts calls of every class.
type Outcomes struct {
	Done               int `json:"done"`
	NotRun             int `json:"not_run"`
	Unknown            int `json:"unknown"`
	Conflict           int `json:"conflict"`
	Other              int `json:"other"`
	NotSent            int `json:"not_sent"`
	NotWhole           int `json:"not_whole"`
	NotRepeatableSends int `json:"not_repeatable_sends"`
}

// Report is the content of report.json.
type Report struct {
	Seed uint64 `json:"seed"`
	Verdict
	StalenessVersions  Percentiles `json:"staleness_versions"`
	TrainerIdleSeconds float64     `json:"trainer_idle_seconds"`
	StepSeconds        float64     `json:"step_seconds"`
	Requests           int         `json:"requests"`
	Outcomes           Outcomes    `json:"outcomes"`
	Tokens             int         `json:"tokens"`
	ResumedSamples     int         `json:"resumed_samples"`
	MixedSamples       int         `json:"samples_of_more_than_one_version"`
	ConfigRevision     uint64      `json:"config_revision"`
	Seconds            float64     `json:"seconds"`
	Events             []string    `json:"events"`
}

const (
	maximumStaleness = 1 << 20
	reportDigits     = 3
)

// NewReport judges the evidence and computes the statistics of the report.
func NewReport(seed uint64, evidence Evidence) Report {
	report := Report{Seed: seed, Verdict: Judge(evidence), Requests: len(evidence.Calls)}
	staleness := hdrhistogram.New(1, maximumStaleness, reportDigits)
	for _, received := range evidence.Received {
		_ = staleness.RecordValue(int64(received.Body.StalenessVersions))
		if len(received.Body.Sample.Replicas) > 1 {
			report.ResumedSamples++
		}
		if len(received.Body.Sample.Spans) > 1 {
			report.MixedSamples++
		}
	}
	report.StalenessVersions = Percentiles{P50: staleness.ValueAtQuantile(50), P99: staleness.ValueAtQuantile(99), Max: staleness.Max()}
	for _, chunk := range evidence.Produced {
		report.Tokens += len(chunk.TokenIDs)
	}
	for _, call := range evidence.Calls {
		report.Outcomes.Count(call)
	}
	return report
}

// Count adds the result of a call.
func (outcomes *Outcomes) Count(call CallResult) {
	if !call.Repeatable {
		outcomes.NotRepeatableSends++
	}
	switch {
	case call.NotSent:
		outcomes.NotSent++
	case call.Interrupted:
		outcomes.NotWhole++
	default:
		outcomes.countCode(call.Code)
	}
}

func (outcomes *Outcomes) countCode(code result.Code) {
	switch code.Class() {
	case result.ClassDone:
		outcomes.Done++
	case result.ClassNotRun:
		outcomes.NotRun++
	case result.ClassUnknown:
		outcomes.Unknown++
	case result.ClassConflict:
		outcomes.Conflict++
	default:
		outcomes.Other++
	}
}

// SetConfigRevision sets ConfigRevision from the stored configuration document. It ignores a document that cannot be
// decoded.
func (report *Report) SetConfigRevision(content []byte) {
	var document experiment.Document
	if json.Unmarshal(content, &document) == nil {
		report.ConfigRevision = document.Revision
	}
}

// WriteText writes a readable summary of the report.
func (report Report) WriteText(output io.Writer) {
	fmt.Fprintf(output, "\nStep: %d of %d samples delivered in %.1f s; %d went on at a second engine, %d span more than one version.\n",
		report.SamplesDelivered, report.SamplesRequested, report.StepSeconds, report.ResumedSamples, report.MixedSamples)
	fmt.Fprintf(output, "Staleness in versions: half at most %d, 99%% at most %d, greatest %d.\n",
		report.StalenessVersions.P50, report.StalenessVersions.P99, report.StalenessVersions.Max)
	fmt.Fprintf(output, "Callers: %d requests: %d done, %d refused as not run, %d conflicts (the same request at two nodes), %d unknown.\n",
		report.Requests, report.Outcomes.Done, report.Outcomes.NotRun, report.Outcomes.Conflict, report.Outcomes.Unknown)
	fmt.Fprintf(output, "Engines produced %d tokens. Configuration revision %d.\n", report.Tokens, report.ConfigRevision)
	if report.Breaches() == 0 {
		fmt.Fprintln(output, "The oracle found no breach: nothing lost, doubled, mislabelled, over the bound, run twice or cut off.")
		return
	}
	fmt.Fprintf(output, "The oracle found %d BREACHES: lost %d, doubled %d, mislabelled %d, over bound %d, not run but ran %d, ran twice %d, cut off %d, wrong %d\n",
		report.Breaches(), report.SamplesLost, report.SamplesDuplicated, report.SamplesMislabelled, report.SamplesOverBound,
		report.NotRunButRan, report.NotRepeatableRanTwice, report.RequestsCutOff, report.AnswersWrong)
	for _, example := range slices.Clone(report.Examples) {
		fmt.Fprintln(output, "  "+example)
	}
}
