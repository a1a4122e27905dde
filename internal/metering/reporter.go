package metering

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// reportPrefix is where reports lie in the metadata store, from before they are first sent until a later one is known to have arrived.
const reportPrefix = "usage/"

func reportKey(window int64) string { return fmt.Sprintf("%s%016d", reportPrefix, window) }

const (
	// settleTime is how long after the end of a window it is reported: the longest that a request is held on the deployments measured is
	// 1.5 s, by then it is known which have run, and telling that takes some 100 ms. A tally that comes later is lost. An outage of the
	// store of 7 s leaves time for a report that is due 10 s after its window.
	settleTime = 2500 * time.Millisecond
	// collectTime is how long after the begin of its term a collector waits for the tallies of the windows that are due: two beacons, by
	// which nodes learn of it, and a call.
	collectTime = 1200 * time.Millisecond
	// tellTime is how long after the end of a window all that began in it was told: some calls, should one fail.
	tellTime = 600 * time.Millisecond
	// reportMargin is kept of the lease for a pause of this process between the look at the lease and the call of a report.
	reportMargin = 450 * time.Millisecond
	// reportMost bounds the time of that call: a platform that is fifty times as slow as usual still answers within it.
	reportMost  = 2 * time.Second
	reportPause = 100 * time.Millisecond
	storeLimit  = 900 * time.Millisecond
	// keysRemoved bounds the reports that are removed with one write.
	keysRemoved = 16
	// unsentMost bounds the reports that are kept while the platform takes none: with windows of five seconds those of an hour. A platform
	// that has been away for so long has closed its books on older ones.
	unsentMost = 720
)

// Sink takes reports.
type Sink interface {
	// Report sends a report, in the name of a holder and with the fence of its term. An error leaves open whether it was taken.
	Report(ctx context.Context, holder string, fence int64, report *meteringv1.Report) error
}

// Term is the time in which this node may report.
type Term interface {
	// Valid reports whether the term is in force, and will be for the margin.
	Valid(margin time.Duration) bool
	// Remaining is how long the term is in force from now on if it is not renewed.
	Remaining() time.Duration
	// Condition holds in the metadata store as long as no other term has begun.
	Condition() metadata.Condition
}

// Reporter reports the windows of the terms in which this node holds the duty.
type Reporter struct {
	Node    string
	Windows Windows
	Clock   *Clock
	Ledger  *Ledger
	Store   metadata.Store
	Sink    Sink
	Logger  *log.Logger
	Metrics *telemetry.Metrics
	// Overhang is how long after the end of a term a call that began in it may last: a successor waits for as long, and for the pause that
	// the platform wants between two holders besides.
	Overhang time.Duration

	// collected is when this process was last known to collect: windows that were told by then need not be told again. It belongs to the
	// goroutine of Run.
	collected time.Time
}

// duty is the work of one term. Its fields belong to one goroutine.
type duty struct {
	*Reporter
	fence int64
	term  Term
	begun time.Time
	// next is the first window that is not stored yet; unsent are reports that are stored, and were not taken in this term.
	next   int64
	unsent []*meteringv1.Report
	// sent are the windows whose stored reports can be removed once a later one is stored.
	sent []int64
}

// Run reports until the context, which ends with the term, is over.
func (reporter *Reporter) Run(ctx context.Context, fence int64, term Term) {
	work := &duty{Reporter: reporter, fence: fence, term: term, begun: time.Now()}
	for !work.resume(ctx) {
		if wait.Pause(ctx, reportPause); ctx.Err() != nil {
			return
		}
	}
	for ctx.Err() == nil {
		work.round(ctx)
		wait.Pause(ctx, reportPause)
	}
}

// resume reads what former holders have stored, and reports whether it could. Their reports are sent again, unchanged.
func (work *duty) resume(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	listing, err := work.Store.List(callCtx, reportPrefix)
	if err != nil {
		work.Logger.Warn("usage reports not read", "fence", work.fence, "error", err)
		return false
	}
	present := work.Windows.At(work.Clock.Now())
	work.next = present
	for index, item := range listing.Items {
		report, err := decodeReport(item)
		if err != nil {
			work.Logger.Error("usage report not readable", "key", item.Key, "error", err)
			continue
		}
		work.unsent = append(work.unsent, report)
		if index == len(listing.Items)-1 {
			work.next = max(report.GetWindow()+1, present-windowsKept+1)
		}
	}
	work.Logger.Info("usage duty begun", "fence", work.fence, "stored", len(listing.Items), "next_window", work.next)
	return true
}

func decodeReport(item metadata.Item) (*meteringv1.Report, error) {
	report := &meteringv1.Report{}
	if err := proto.Unmarshal(item.Value, report); err != nil {
		return nil, errors.Wrap(err, "decode a usage report")
	}
	if item.Key != reportKey(report.GetWindow()) {
		return nil, errors.Newf("the report of window %d lies under another key", report.GetWindow())
	}
	return report, nil
}

// round stores the reports that are due, and sends what is stored. While the term is not in force, it does neither: a store that does not
// renew the lease would not take a report.
func (work *duty) round(ctx context.Context) {
	if work.term.Valid(reportMargin) && work.isTold() {
		work.collected = work.Clock.Now()
	}
	for work.term.Valid(reportMargin) && work.isDue() && work.store(ctx) {
		work.next++
	}
	for len(work.unsent) > unsentMost {
		work.Logger.Error("usage report given up", "window", work.unsent[0].GetWindow(), "fence", work.fence, "unsent", len(work.unsent))
		work.sent = append(work.sent, work.unsent[0].GetWindow()) // so that it is removed
		work.unsent = work.unsent[1:]
	}
	for len(work.unsent) > 0 && work.send(ctx, work.unsent[0]) {
		work.unsent = work.unsent[1:]
	}
}

// isTold reports whether nodes have had the time to tell their tallies in this term.
func (work *duty) isTold() bool { return time.Since(work.begun) > collectTime }

// isDue reports whether the next window has settled, and this process knows all that was told of it.
func (work *duty) isDue() bool {
	end := work.Windows.End(work.next)
	return !work.Clock.Now().Before(end.Add(settleTime)) && (work.isTold() || !work.collected.Before(end.Add(tellTime)))
}

// store makes the report of the next window durable, and reports whether one is. If another holder has stored one, that stands; a former
// holder, who is told nothing any more, stores none.
func (work *duty) store(ctx context.Context) bool {
	report, processes := work.Ledger.Report(work.next)
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(report)
	if err != nil {
		work.Logger.Error("usage report not encoded", "window", work.next, "error", err)
		return false
	}
	removed := work.sent[:min(len(work.sent), keysRemoved)]
	txn := metadata.Txn{
		Conditions: []metadata.Condition{work.term.Condition(), {Key: reportKey(work.next)}},
		Puts:       []metadata.Put{{Key: reportKey(work.next), Value: encoded}},
	}
	for _, window := range removed {
		txn.Deletes = append(txn.Deletes, reportKey(window))
	}
	callCtx, cancel := context.WithTimeout(ctx, storeLimit)
	defer cancel()
	_, err = work.Store.Commit(callCtx, txn)
	var conflict *metadata.ConflictError
	switch {
	case errors.As(err, &conflict):
		report, err = storedReport(conflict, work.next)
	case err == nil:
		work.sent = work.sent[len(removed):]
	}
	work.Logger.Info("usage report stored", "window", work.next, "fence", work.fence, "tenants", len(report.GetCounts()), "requests", total(report),
		"processes", processes, "by_other", conflict != nil, "after_ms", work.Clock.Now().Sub(work.Windows.End(work.next)).Milliseconds(), "error", err)
	if err != nil {
		return false
	}
	work.unsent = append(work.unsent, report)
	return true
}

// storedReport returns the report that stands in the way of another; an earlier try of this node may have been done without its answer.
func storedReport(conflict *metadata.ConflictError, window int64) (*meteringv1.Report, error) {
	item, found := conflict.Find(reportKey(window))
	if !found {
		return nil, metadata.ErrUncertain
	}
	return decodeReport(item)
}

func total(report *meteringv1.Report) int64 {
	sum := int64(0)
	for _, count := range report.GetCounts() {
		sum += count.GetCount()
	}
	return sum
}

// callContext bounds the call of a report. A call of two seconds outlasts the lease as it stands when it is sent: it goes on as long as the
// lease is renewed, and ends soon after one that is not.
func (work *duty) callContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, reportMost)
	go func() {
		for ctx.Err() == nil {
			left := work.term.Remaining() + work.Overhang
			if left <= 0 {
				cancel()
				return
			}
			wait.Pause(ctx, left)
		}
	}()
	return ctx, cancel
}

// send sends a report if the term allows it, and reports whether it was taken.
func (work *duty) send(ctx context.Context, report *meteringv1.Report) bool {
	if !work.term.Valid(reportMargin) {
		return false
	}
	callCtx, cancel := work.callContext(ctx)
	defer cancel()
	started := time.Now()
	err := work.Sink.Report(callCtx, work.Node, work.fence, report)
	work.Metrics.UsageReported(err == nil, time.Since(started))
	work.Logger.Info("usage reported", "window", report.GetWindow(), "fence", work.fence, "tenants", len(report.GetCounts()), "requests", total(report),
		"counts", describe(report), "after_ms", work.Clock.Now().Sub(work.Windows.End(report.GetWindow())).Milliseconds(), "error", err)
	if err != nil {
		return false
	}
	work.sent = append(work.sent, report.GetWindow())
	return true
}

// describedTenants bounds the tenants that a line on a report tells of.
const describedTenants = 100

// describe lists the counts of a report for a line of the log.
func describe(report *meteringv1.Report) string {
	var text strings.Builder
	for index, count := range report.GetCounts() {
		if index == describedTenants {
			text.WriteString(" ...")
			break
		}
		if index > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s:%d", count.GetTenant(), count.GetCount())
	}
	return text.String()
}
