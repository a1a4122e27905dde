// Package telemetry defines the Prometheus metrics of a process. All methods that record a value do nothing on a nil *Metrics.
package telemetry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are the metrics of one process.
type Metrics struct {
	registry          *prometheus.Registry
	forwarded         *prometheus.HistogramVec
	items             *prometheus.HistogramVec
	itemIdle          *prometheus.HistogramVec
	jobs              *prometheus.CounterVec
	storeCalls        *prometheus.HistogramVec
	orders            *prometheus.CounterVec
	formerOrders      *prometheus.CounterVec
	published         *prometheus.HistogramVec
	storeReads        *prometheus.CounterVec
	publishedBytes    *prometheus.CounterVec
	plannedReplicas   *prometheus.GaugeVec
	snapshots         *prometheus.CounterVec
	relaysLost        prometheus.Counter
	staleBeacons      prometheus.Counter
	build             *prometheus.GaugeVec
	updatesApplied    *prometheus.CounterVec
	updatesUnreadable *prometheus.CounterVec
	entriesUnusable   prometheus.Counter
	usageSent         *prometheus.CounterVec
	usageReports      *prometheus.HistogramVec
	replicaOrders     *prometheus.HistogramVec
	replicaCrashes    prometheus.Counter
	requestsHeld      prometheus.Counter
	suspicionsCleared prometheus.Counter
	quarantined       prometheus.Gauge
	suspensions       prometheus.Counter
	admissionWaits    *prometheus.HistogramVec
	admissionRefusals *prometheus.CounterVec
	admissionQueue    *prometheus.GaugeVec
	scoringWaits      *prometheus.HistogramVec
	scoringCalls      *prometheus.HistogramVec
	roomLimit         *prometheus.GaugeVec
	roomOthers        *prometheus.GaugeVec
	loadMessages      *prometheus.CounterVec
	replicaHolds      *prometheus.CounterVec
	replicaReturns    prometheus.Counter
	loadsUnreadable   prometheus.Counter
}

// latencyBuckets are upper bounds in seconds. They cover the range from calls to the metadata store to the longest batch items.
var latencyBuckets = []float64{0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10}

// New returns metrics. Dropped returns the number of log lines dropped so far.
func New(dropped func() int64) *Metrics {
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "thistlewalk", Name: name, Help: help, Buckets: latencyBuckets}, labels)
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "thistlewalk", Name: name, Help: help}, labels)
	}
	metrics := &Metrics{
		registry:   prometheus.NewRegistry(),
		forwarded:  histogram("forward_seconds", "Time of forwarded requests by final status.", "status", "own"),
		items:      histogram("item_seconds", "Time of attempts at items by outcome.", "outcome"),
		itemIdle:   histogram("item_idle_seconds", "Time that items were at no replica before an attempt."),
		jobs:       counter("job_events_total", "Events of batch jobs.", "event"),
		storeCalls: histogram("store_seconds", "Time of calls to the metadata store by call and result.", "call", "result"),
		orders:     counter("orders_total", "Orders to replicas by reply.", "reply"),
		published:  histogram("publish_seconds", "Time of calls that bring another node up to date, by result.", "result"),
		storeReads: counter("store_readings_total", "Times at which this node began to read the metadata store itself, by reason.", "reason"),
	}
	metrics.formerOrders = counter("former_orders_total", "Orders in flight at the end of a former term, by outcome.", "outcome")
	metrics.publishedBytes = counter("published_bytes_total", "Bytes of updates to other nodes by topic, and whether they held all of it.", "topic", "whole")
	metrics.snapshots = counter("snapshots_total", "Calls that ask a neighbour for all that it knows of a topic, by result.", "result")
	metrics.usageSent = counter("usage_told_total", "Calls that tell tallies of usage to another node, by its role and result.", "role", "result")
	metrics.usageReports = histogram("usage_report_seconds", "Time of calls that report usage, by result.", "result")
	metrics.replicaOrders = histogram("replica_order_seconds", "Time of calls that order replicas from the platform, by answer.", "answer")
	single := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "thistlewalk", Name: name, Help: help})
	}
	metrics.plannedReplicas = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "thistlewalk", Name: "planned_replicas", Help: "Replicas that a model is given, by the node that orders them."}, []string{"model"})
	metrics.relaysLost = single("relays_lost_total", "Relays that did not relay, so that their nodes were given to others.")
	metrics.staleBeacons = single("old_beacons_total", "Beacons that were under way for too long, and counted for nothing.")
	metrics.build = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "thistlewalk", Name: "build_info", Help: "The build that this process runs; always 1."}, []string{"build"})
	metrics.updatesApplied = counter("updates_taken_total", "Updates of other nodes by topic, whether they held all of it, and whether they were packed.", "topic", "whole", "packed")
	metrics.updatesUnreadable = counter("updates_unread_total", "Updates of other nodes that this build could not read, by topic.", "topic")
	metrics.entriesUnusable = single("replica_entries_not_usable_total", "Entries of replicas that make no sense, so that they name no replica.")
	metrics.replicaCrashes = single("replica_ends_under_requests_total", "Requests of this node under which a replica ended, by replica.")
	metrics.requestsHeld = single("requests_held_total", "Requests that were not sent to a replica since others had ended under them.")
	metrics.suspicionsCleared = single("suspicions_cleared_total", "Requests that a replica answered after others had ended under them.")
	metrics.quarantined = prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "thistlewalk", Name: "requests_quarantined", Help: "Requests that are not sent to replicas any more."})
	metrics.suspensions = single("suspensions_total", "Times that the machine was suspended while this process ran.")
	metrics.admissionWaits = histogram("admission_wait_seconds", "Time that requests waited for room at their service, by class and how the wait ended.", "class", "end")
	metrics.admissionRefusals = counter("admission_refused_total", "Requests that were not admitted to their service, by class and reason.", "class", "reason")
	metrics.admissionQueue = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "thistlewalk", Name: "admission_waiting", Help: "Requests of this node that wait for room, by service."}, []string{"service"})
	metrics.scoringWaits = histogram("scoring_wait_seconds", "Time that texts waited for a place at a scoring service.")
	metrics.scoringCalls = histogram("scoring_call_seconds", "Time of scoring calls by outcome.", "outcome")
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: "thistlewalk", Name: name, Help: help}, labels)
	}
	metrics.roomLimit = gauge("room_limit", "Requests that this node may have in flight at a service.", "service")
	metrics.roomOthers = gauge("room_others", "Requests that other nodes have at a service, in flight or waiting; absent while they are not known.", "service", "state")
	metrics.loadMessages = counter("load_messages_total", "Messages on the loads of services by kind and event.", "kind", "event")
	metrics.replicaHolds = counter("replica_holds_total", "Times that a replica of a plain service got fewer or no requests, by reason.", "reason")
	metrics.replicaReturns = single("replica_returns_total", "Times that a replica of a plain service got its share of requests again after it failed or was slow.")
	metrics.loadsUnreadable = single("replica_loads_unread_total", "Loads that replicas reported with answers and that could not be read.")
	lines := prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: "thistlewalk", Name: "log_lines_dropped_total", Help: "Log lines that found the queue full.",
	}, func() float64 { return float64(dropped()) })
	metrics.registry.MustRegister(
		metrics.scoringWaits, metrics.scoringCalls, metrics.forwarded, metrics.items, metrics.itemIdle, metrics.jobs, metrics.storeCalls, metrics.orders, metrics.formerOrders,
		metrics.published, metrics.storeReads, metrics.publishedBytes, metrics.plannedReplicas, metrics.snapshots, metrics.relaysLost,
		metrics.staleBeacons, metrics.build, metrics.updatesApplied, metrics.updatesUnreadable, metrics.entriesUnusable,
		metrics.usageSent, metrics.usageReports, metrics.replicaCrashes, metrics.requestsHeld, metrics.suspicionsCleared,
		metrics.quarantined, metrics.suspensions, metrics.admissionWaits, metrics.admissionRefusals, metrics.admissionQueue,
		metrics.roomLimit, metrics.roomOthers, metrics.loadMessages, metrics.replicaOrders, metrics.replicaHolds, metrics.replicaReturns,
		metrics.loadsUnreadable, lines,
	)
	return metrics
}

// Handler serves the metrics in the Prometheus text format.
func (metrics *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(metrics.registry, promhttp.HandlerOpts{DisableCompression: true})
}

// Forwarded counts a forwarded request. Own is true if the status comes from this node and not from a replica.
func (metrics *Metrics) Forwarded(status int, own bool, took time.Duration) {
	if metrics != nil {
		metrics.forwarded.WithLabelValues(strconv.Itoa(status), strconv.FormatBool(own)).Observe(took.Seconds())
	}
}

// ItemIdle counts the time that an item was at no replica before an attempt.
func (metrics *Metrics) ItemIdle(idle time.Duration) {
	if metrics != nil {
		metrics.itemIdle.WithLabelValues().Observe(idle.Seconds())
	}
}

// Item counts an attempt at a batch item.
func (metrics *Metrics) Item(outcome string, took time.Duration) {
	if metrics != nil {
		metrics.items.WithLabelValues(outcome).Observe(took.Seconds())
	}
}

// ScoringWait counts a text that got a place at a scoring service.
func (metrics *Metrics) ScoringWait(waited time.Duration) {
	if metrics != nil {
		metrics.scoringWaits.WithLabelValues().Observe(waited.Seconds())
	}
}

// ScoringCall counts a call to a scoring service.
func (metrics *Metrics) ScoringCall(outcome string, took time.Duration) {
	if metrics != nil {
		metrics.scoringCalls.WithLabelValues(outcome).Observe(took.Seconds())
	}
}

// Job counts an event of a batch job.
func (metrics *Metrics) Job(event string) {
	if metrics != nil {
		metrics.jobs.WithLabelValues(event).Inc()
	}
}

// StoreCall counts a call to the metadata store.
func (metrics *Metrics) StoreCall(call, result string, took time.Duration) {
	if metrics != nil {
		metrics.storeCalls.WithLabelValues(call, result).Observe(took.Seconds())
	}
}

// Order counts an order to a replica.
func (metrics *Metrics) Order(reply string) {
	if metrics != nil {
		metrics.orders.WithLabelValues(reply).Inc()
	}
}

// FormerOrder counts an order of a former holder that holds its replica back no longer, by outcome.
func (metrics *Metrics) FormerOrder(outcome string) {
	if metrics != nil {
		metrics.formerOrders.WithLabelValues(outcome).Inc()
	}
}

// Published counts a call that sends updates to another node.
func (metrics *Metrics) Published(result string, took time.Duration) {
	if metrics != nil {
		metrics.published.WithLabelValues(result).Observe(took.Seconds())
	}
}

// PublishedBytes counts the bytes of an update sent to another node. Whole is true for a snapshot of the topic and false for a delta.
func (metrics *Metrics) PublishedBytes(topic string, whole bool, size int) {
	if metrics != nil {
		metrics.publishedBytes.WithLabelValues(topic, strconv.FormatBool(whole)).Add(float64(size))
	}
}

// UpdateApplied counts an update received from another node and applied.
func (metrics *Metrics) UpdateApplied(topic string, whole, packed bool) {
	if metrics != nil {
		metrics.updatesApplied.WithLabelValues(topic, strconv.FormatBool(whole), strconv.FormatBool(packed)).Inc()
	}
}

// UpdateUndecodable counts an update received from another node that this build can't decode.
func (metrics *Metrics) UpdateUndecodable(topic string) {
	if metrics != nil {
		metrics.updatesUnreadable.WithLabelValues(topic).Inc()
	}
}

// InvalidEntry counts an invalid replica entry.
func (metrics *Metrics) InvalidEntry() {
	if metrics != nil {
		metrics.entriesUnusable.Inc()
	}
}

// Build sets the build that this process runs.
func (metrics *Metrics) Build(id string) {
	if metrics != nil {
		metrics.build.WithLabelValues(id).Set(1)
	}
}

// Planned sets the number of replicas planned for a model.
func (metrics *Metrics) Planned(model string, replicas int) {
	if metrics != nil {
		metrics.plannedReplicas.WithLabelValues(model).Set(float64(replicas))
	}
}

// Snapshot counts a call that requests a snapshot of a topic from another node.
func (metrics *Metrics) Snapshot(result string) {
	if metrics != nil {
		metrics.snapshots.WithLabelValues(result).Inc()
	}
}

// RelayLost counts a relay that failed, so that its nodes were assigned to other relays.
func (metrics *Metrics) RelayLost() {
	if metrics != nil {
		metrics.relaysLost.Inc()
	}
}

// StaleBeacon counts a beacon, which is a publisher's heartbeat, that was ignored because it was in transit for too long.
func (metrics *Metrics) StaleBeacon() {
	if metrics != nil {
		metrics.staleBeacons.Inc()
	}
}

// StoreReadStarted counts a switch of this node to reading the metadata store directly.
func (metrics *Metrics) StoreReadStarted(reason string) {
	if metrics != nil {
		metrics.storeReads.WithLabelValues(reason).Inc()
	}
}

// UsageTalliesSent counts a call that sends usage tallies to a node with the given role.
func (metrics *Metrics) UsageTalliesSent(role string, ok bool) {
	if metrics != nil {
		metrics.usageSent.WithLabelValues(role, outcomeOf(ok)).Inc()
	}
}

// UsageReported counts a call that reports usage to the platform.
func (metrics *Metrics) UsageReported(ok bool, took time.Duration) {
	if metrics != nil {
		metrics.usageReports.WithLabelValues(outcomeOf(ok)).Observe(took.Seconds())
	}
}

// ReplicasOrdered counts a call that orders replicas from the platform.
func (metrics *Metrics) ReplicasOrdered(answer string, took time.Duration) {
	if metrics != nil {
		metrics.replicaOrders.WithLabelValues(answer).Observe(took.Seconds())
	}
}

// ReplicaCrashed counts a replica that crashed while it ran a request of this node.
func (metrics *Metrics) ReplicaCrashed() {
	if metrics != nil {
		metrics.replicaCrashes.Inc()
	}
}

// RequestHeld counts a request that was withheld because replicas had crashed while running it.
func (metrics *Metrics) RequestHeld() {
	if metrics != nil {
		metrics.requestsHeld.Inc()
	}
}

// SuspicionCleared counts a request that a replica answered after other replicas had crashed while running it.
func (metrics *Metrics) SuspicionCleared() {
	if metrics != nil {
		metrics.suspicionsCleared.Inc()
	}
}

// Quarantined sets the number of requests in quarantine.
func (metrics *Metrics) Quarantined(count int) {
	if metrics != nil {
		metrics.quarantined.Set(float64(count))
	}
}

// Suspended counts a suspension of the machine.
func (metrics *Metrics) Suspended() {
	if metrics != nil {
		metrics.suspensions.Inc()
	}
}

// AdmissionWaited counts a request that waited for room, by how the wait ended: admitted, refused or left.
func (metrics *Metrics) AdmissionWaited(class, end string, took time.Duration) {
	if metrics != nil {
		metrics.admissionWaits.WithLabelValues(class, end).Observe(took.Seconds())
	}
}

// AdmissionRefused counts a request that was not admitted.
func (metrics *Metrics) AdmissionRefused(class, reason string) {
	if metrics != nil {
		metrics.admissionRefusals.WithLabelValues(class, reason).Inc()
	}
}

// AdmissionQueue sets the number of requests that wait for room at a service.
func (metrics *Metrics) AdmissionQueue(service string, waiting int) {
	if metrics != nil {
		metrics.admissionQueue.WithLabelValues(service).Set(float64(waiting))
	}
}

// ReplicaHeld counts a replica that gets fewer or no requests for a reason.
func (metrics *Metrics) ReplicaHeld(reason string) {
	if metrics != nil {
		metrics.replicaHolds.WithLabelValues(reason).Inc()
	}
}

// ReplicaReturned counts a replica that gets its share of requests again.
func (metrics *Metrics) ReplicaReturned() {
	if metrics != nil {
		metrics.replicaReturns.Inc()
	}
}

// ReportedLoadMalformed counts a reported load that can't be decoded.
func (metrics *Metrics) ReportedLoadMalformed() {
	if metrics != nil {
		metrics.loadsUnreadable.Inc()
	}
}

func outcomeOf(ok bool) string {
	if ok {
		return "ok"
	}
	return "failed"
}

// RoomLimit records the limit of requests in flight at a service.
func (metrics *Metrics) RoomLimit(service string, limit int) {
	if metrics != nil {
		metrics.roomLimit.WithLabelValues(service).Set(float64(limit))
	}
}

// RoomOthers records the requests that other nodes have at a service.
func (metrics *Metrics) RoomOthers(service string, inFlight, waiting int) {
	if metrics != nil {
		metrics.roomOthers.WithLabelValues(service, "in_flight").Set(float64(inFlight))
		metrics.roomOthers.WithLabelValues(service, "waiting").Set(float64(waiting))
	}
}

// RoomOthersUnknown removes the requests that other nodes have at a service.
func (metrics *Metrics) RoomOthersUnknown(service string) {
	if metrics != nil {
		metrics.roomOthers.DeletePartialMatch(prometheus.Labels{"service": service})
	}
}

// RoomRemoved removes the metrics of a service that is no longer used.
func (metrics *Metrics) RoomRemoved(service string) {
	if metrics != nil {
		metrics.roomLimit.DeleteLabelValues(service)
		metrics.RoomOthersUnknown(service)
	}
}

// LoadMessages counts messages on the loads of services.
func (metrics *Metrics) LoadMessages(kind, event string, count int) {
	if metrics != nil && count > 0 {
		metrics.loadMessages.WithLabelValues(kind, event).Add(float64(count))
	}
}
