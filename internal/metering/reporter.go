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
	"github.com/thistlewalk/thistlewalk/internal/leadership"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// reportPrefix is the prefix of the stored reports in the metadata store. A report is stored before it is first sent. It is removed after
// it has been accepted, in the transaction that stores a later report. Each is stored on condition that the one before is still there, and
// reports are removed in order, so that a late attempt to store a report fails once that report has been removed.
const reportPrefix = "usage/"

// firstReportKey stands for the report before one that is stored while no other is. It is written again with each such report.
const firstReportKey = "usage-first"

func reportKey(window int64) string { return fmt.Sprintf("%s%016d", reportPrefix, window) }

const (
	// settleDelay is the time between the end of a window and its report. It must cover the longest time that a request is held and the
	// delivery of the tallies, because a tally that arrives later is lost. It must also leave time for an outage of the store before the
	// report is due, 10 s after the end of the window. Requests are held for at most 1.5 s on the known deployments, and delivery
	// takes some 100 ms; an outage of 7 s leaves time for the report.
	settleDelay = 2500 * time.Millisecond
	// collectDelay is how long a collector waits for tallies after the start of its term. It covers two beacons, from which the other
	// nodes learn of the new collector, and a call.
	collectDelay = 1200 * time.Millisecond
	// deliveryAllowance is the time after the end of a window within which its tallies are delivered, including a retry.
	deliveryAllowance = 600 * time.Millisecond
	reportTimeout     = 2 * time.Second
	roundInterval     = 100 * time.Millisecond
	storeTimeout      = 900 * time.Millisecond
	// maxRemovedKeys limits the reports that one transaction removes.
	maxRemovedKeys = 16
	// maxUnsent limits the reports that are retained while the platform accepts none, to those of one hour with windows of 5 s. Older
	// reports are dropped.
	maxUnsent = 720
)

// Sink receives usage reports.
type Sink interface {
	// Report sends a report on behalf of the holder of a term, with the fence of that term. After an error, the report may or may not
	// have been accepted.
	Report(ctx context.Context, holder string, fence int64, report *meteringv1.Report) error
}

// Reporter sends the usage reports during the terms of this node.
type Reporter struct {
	Node    string
	Windows Windows
	Clock   *Clock
	Ledger  *Ledger
	Store   metadata.Store
	Sink    Sink
	Logger  *log.Logger
	Metrics *telemetry.Metrics
	// CallGrace is how long a call may continue after the term has ended. Before its first call, a successor waits for this time and for
	// the pause that the platform requires between two holders.
	CallGrace time.Duration

	// collectedAt is the latest time at which this process was the collector and all nodes had had time to send their tallies to it. In a
	// later term, this process still holds the tallies delivered by then. Only the goroutine of Run uses this field.
	collectedAt time.Time
}

// termWork is the work of one term. Only one goroutine uses its fields.
type termWork struct {
	*Reporter
	fence     int64
	term      leadership.Term
	startedAt time.Time
	// next is the first window whose report is not stored yet. unsent holds the stored reports that have not been accepted in this term.
	next   int64
	unsent []*meteringv1.Report
	// removable holds the windows whose stored reports can be removed together with the next write.
	removable []int64
	// newest is the condition that the newest stored report is still there, or that of firstReportKey.
	newest metadata.Condition
}

// Run sends reports until the context ends, which it does at the end of the term.
func (reporter *Reporter) Run(ctx context.Context, fence int64, term leadership.Term) {
	work := &termWork{Reporter: reporter, fence: fence, term: term, startedAt: time.Now()}
	for !work.resume(ctx) {
		if wait.Pause(ctx, roundInterval); ctx.Err() != nil {
			return
		}
	}
	for ctx.Err() == nil {
		work.round(ctx)
		wait.Pause(ctx, roundInterval)
	}
}

// resume reads the reports that former holders have stored, so that they are sent again unchanged. It returns false if the store cannot be
// read.
func (work *termWork) resume(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := work.Store.List(callCtx, reportPrefix)
	if err != nil {
		work.Logger.Warn("usage reports not read", "fence", work.fence, "error", err)
		return false
	}
	first, _, err := work.Store.Get(callCtx, firstReportKey)
	if err != nil {
		work.Logger.Warn("usage reports not read", "fence", work.fence, "error", err)
		return false
	}
	work.newest = metadata.Condition{Key: firstReportKey, Revision: first.Revision}
	present := work.Windows.At(work.Clock.Now())
	work.next = present
	for index, item := range listing.Items {
		work.newest = metadata.Condition{Key: item.Key, Revision: item.Revision}
		report, err := decodeReport(item)
		if err != nil {
			work.Logger.Error("usage report cannot be decoded", "key", item.Key, "error", err)
			continue
		}
		work.unsent = append(work.unsent, report)
		if index == len(listing.Items)-1 {
			work.next = max(report.GetWindow()+1, present-retainedWindows+1)
		}
	}
	work.Logger.Info("usage reporter term started", "fence", work.fence, "stored", len(listing.Items), "next_window", work.next)
	return true
}

func decodeReport(item metadata.Item) (*meteringv1.Report, error) {
	report := &meteringv1.Report{}
	if err := proto.Unmarshal(item.Value, report); err != nil {
		return nil, errors.Wrap(err, "decode a usage report")
	}
	if item.Key != reportKey(report.GetWindow()) {
		return nil, errors.Newf("usage report of window %d is stored under another key", report.GetWindow())
	}
	return report, nil
}

// round stores the reports that are due and sends the stored ones. It does neither unless the lease is valid: a store that does not renew
// the lease would not store a report either.
func (work *termWork) round(ctx context.Context) {
	if work.term.Valid(leadership.Margin) && work.hasCollected() {
		work.collectedAt = work.Clock.Now()
	}
	for work.term.Valid(leadership.Margin) && work.isDue() && work.store(ctx) {
		work.next++
	}
	for len(work.unsent) > maxUnsent {
		work.Logger.Error("usage report dropped", "window", work.unsent[0].GetWindow(), "fence", work.fence, "unsent", len(work.unsent))
		work.removable = append(work.removable, work.unsent[0].GetWindow()) // the next write removes it from the store
		work.unsent = work.unsent[1:]
	}
	for len(work.unsent) > 0 && work.send(ctx, work.unsent[0]) {
		work.unsent = work.unsent[1:]
	}
}

// hasCollected reports whether the nodes have had time to send their tallies in this term.
func (work *termWork) hasCollected() bool { return time.Since(work.startedAt) > collectDelay }

// isDue reports whether the next window has settled and this process has received all its tallies, in this term or in an earlier one.
func (work *termWork) isDue() bool {
	end := work.Windows.End(work.next)
	return !work.Clock.Now().Before(end.Add(settleDelay)) && (work.hasCollected() || !work.collectedAt.Before(end.Add(deliveryAllowance)))
}

// store makes the report of the next window durable, and reports whether a report of that window is stored. If another holder has already
// stored one, that report is used. The condition on the term prevents a former holder, which no longer receives tallies, from storing one.
func (work *termWork) store(ctx context.Context) bool {
	report, processes := work.Ledger.Report(work.next)
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(report)
	if err != nil {
		work.Logger.Error("usage report cannot be encoded", "window", work.next, "error", err)
		return false
	}
	removed := work.removable[:min(len(work.removable), maxRemovedKeys)]
	txn := metadata.Txn{
		Conditions: []metadata.Condition{work.term.Condition(), {Key: reportKey(work.next)}, work.newest},
		Puts:       []metadata.Put{{Key: reportKey(work.next), Value: encoded}},
	}
	if work.newest.Key == firstReportKey {
		txn.Puts = append(txn.Puts, metadata.Put{Key: firstReportKey})
	}
	for _, window := range removed {
		txn.Deletes = append(txn.Deletes, reportKey(window))
	}
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	revision, err := work.Store.Commit(callCtx, txn)
	var conflict *metadata.ConflictError
	switch {
	case errors.As(err, &conflict):
		report, revision, err = work.storedReport(conflict)
	case err == nil:
		work.removable = work.removable[len(removed):]
	}
	work.Logger.Info("usage report stored", "window", work.next, "fence", work.fence, "tenants", len(report.GetCounts()), "requests", total(report),
		"processes", processes, "by_other", conflict != nil, "after_ms", work.Clock.Now().Sub(work.Windows.End(work.next)).Milliseconds(), "error", err)
	if err != nil {
		return false
	}
	work.newest = metadata.Condition{Key: reportKey(work.next), Revision: revision}
	work.unsent = append(work.unsent, report)
	return true
}

// storedReport returns the report of the next window that is already stored, and its revision. It may stem from an earlier attempt of this
// node whose response was lost.
func (work *termWork) storedReport(conflict *metadata.ConflictError) (*meteringv1.Report, metadata.Revision, error) {
	if item, found := conflict.Find(reportKey(work.next)); found {
		report, err := decodeReport(item)
		return report, item.Revision, err
	}
	// Unless the term is over, something else has changed the newest stored report.
	current, _ := conflict.Find(work.newest.Key)
	work.newest.Revision = current.Revision
	return nil, 0, metadata.ErrUncertain
}

func total(report *meteringv1.Report) int64 {
	sum := int64(0)
	for _, count := range report.GetCounts() {
		sum += count.GetCount()
	}
	return sum
}

// send sends a report if the lease is valid, and reports whether the report was accepted.
func (work *termWork) send(ctx context.Context, report *meteringv1.Report) bool {
	if !work.term.Valid(leadership.Margin) {
		return false
	}
	callCtx, cancel := leadership.CallContext(ctx, work.term, reportTimeout, work.CallGrace)
	defer cancel()
	started := time.Now()
	err := work.Sink.Report(callCtx, work.Node, work.fence, report)
	work.Metrics.UsageReported(err == nil, time.Since(started))
	work.Logger.Info("usage reported", "window", report.GetWindow(), "fence", work.fence, "tenants", len(report.GetCounts()), "requests", total(report),
		"counts", describe(report), "after_ms", work.Clock.Now().Sub(work.Windows.End(report.GetWindow())).Milliseconds(), "error", err)
	if err != nil {
		return false
	}
	work.removable = append(work.removable, report.GetWindow())
	return true
}

// maxLoggedTenants limits the tenants that are listed in a log line.
const maxLoggedTenants = 100

// describe formats the counts of a report for a log line.
func describe(report *meteringv1.Report) string {
	var text strings.Builder
	for index, count := range report.GetCounts() {
		if index == maxLoggedTenants {
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
