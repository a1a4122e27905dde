#!/usr/bin/env bash
# Applies each mutation below to a copy of the last commit and checks that the given tests then fail; see docs/TESTING.md. The exit code is 1
# if a mutation is not caught, does not build or does not match the source any more.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0
# Tests of KNOWN-RED.txt fail without a mutation too.
known=$(sed -n 's/^[^.]*\.\(Test[A-Za-z0-9_]*\),.*/\1/p' KNOWN-RED.txt | paste -sd '|' -)
# mutate NAME FILE 'PATTERN' 'REPLACEMENT' ARGUMENT...: PATTERN is fixed text that must occur exactly once in FILE. The arguments are those of
# go test.
mutate() {
  local name=$1 file=$2 pattern=$3 replacement=$4
  shift 4
  rm -rf "$copy/tree" && mkdir "$copy/tree" && git archive HEAD | tar -xf - -C "$copy/tree"
  python3 - "$copy/tree/$file" "$pattern" "$replacement" <<'PY' || { echo "$name: the line has changed; mend this script"; missed=1; return; }
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
if text.count(old) != 1:
    sys.exit(1)
open(path, "w").write(text.replace(old, new))
PY
  if ! (cd "$copy/tree" && go vet ./... >"$copy/out" 2>&1); then
    printf '%-34s DOES NOT BUILD\n' "$name"
    missed=1
  elif (cd "$copy/tree" && ! go test -skip "^(${known:-none})\$" "$@" >"$copy/out" 2>&1); then
    printf '%-34s caught by %s\n' "$name" "$(grep -m1 -o -- '--- FAIL: [A-Za-z_/]*' "$copy/out" | cut -c11-)"
  else
    printf '%-34s NOT CAUGHT\n' "$name"
    missed=1
  fi
}
mutate 'fence not checked' internal/partition/replica.go 'if write.Epoch < replica.promised {' 'if write.Epoch == 0 {' ./internal/partition/...
mutate 'read quorum too small' internal/partition/table.go 'return n - WriteQuorum(n) + 1' 'return 1' ./internal/partition/...
mutate 'older register wins' internal/partition/replica.go 'return register.Sequence > other.Sequence' 'return register.Sequence < other.Sequence' ./internal/partition/...
mutate 'sequence restarts at zero' internal/partition/log.go 'log.sequence = recovery.AfterSequence' 'log.sequence = 0' ./internal/partition/...
mutate 'log not retired' internal/partition/log.go 'log.failed = errRetired' '_ = errRetired' ./internal/partition/...
mutate 'absent copies dropped from a set' internal/partition/takeover.go 'if name.Kind != KindSteps {' 'if name.Kind != "" {' ./internal/partition/...
mutate 'deduplication skipped' internal/step/step.go 'if state.Sample != nil || step.Progress.State != StateOpen {' 'if step.Progress.State != StateOpen {' ./internal/step/...
mutate 'staleness bound not checked' internal/step/step.go 'if staleness.Exceeds(bound) {' 'if staleness.Exceeds(experiment.Bound{}) {' ./internal/step/...
mutate 'delivered slot batched again' internal/step/step.go 'if state.Sample != nil && !step.batched[state.Slot] {' 'if state.Sample != nil {' ./internal/step/...
mutate 'claim granted twice' internal/claim/registry.go 'case exists && existing.Token == claim.Token:' 'case exists && !existing.Settled:' ./internal/claim/...
mutate 'lost claim history ignored' internal/claim/registry.go 'case registry.mayHaveLost(claim.RequestID, now):' 'case claim.RequestID == "":' ./internal/claim/...
mutate 'sent request reported as not run' internal/engine/http.go 'return nil, errors.Mark(errors.Wrap(err, "engine"), ErrBroken)' 'return nil, errors.Mark(errors.Wrap(err, "engine"), ErrNotAccepted)' ./internal/engine/...
mutate 'revision not compared' internal/configuration/follower.go 'if document.Revision <= follower.document.Load().Revision {' 'if document.Revision == 0 {' ./internal/configuration/...
mutate 'late chunk accepted' internal/rollout/transcript.go 'if chunk.RequestID != transcript.requestID || chunk.Attempt != transcript.attempt {' 'if chunk.RequestID != transcript.requestID {' ./internal/rollout/...
mutate 'span without the chunk version' internal/rollout/transcript.go 'AppendSpan(transcript.spans, chunk.Version, len(chunk.TokenIDs))' 'AppendSpan(transcript.spans, 1, len(chunk.TokenIDs))' ./internal/lab/simulation -rapid.shrinktime=1s
mutate 'refutation skipped' internal/membership/table.go 'own.member.Incarnation = update.Incarnation + 1' 'own.member.Incarnation = update.Incarnation' ./internal/membership/...
mutate 'claims skipped' internal/gateway/completion.go 'if prepared.repeatable {' 'if prepared.requestID != "" {' ./internal/lab/simulation -rapid.shrinktime=1s
mutate 'engine fence not checked' internal/lab/platform/orders.go 'return next.Holder == present.Holder && next.Revision >= present.Revision' 'return true' ./internal/replicacontrol/...
mutate 'report sent before it is stored' internal/metering/reporter.go 'revision, err := work.Store.Commit(callCtx, txn)' 'revision, err := work.Store.Commit(callCtx, metadata.Txn{Deletes: txn.Deletes})' ./internal/metering
mutate 'report stored by a former holder' internal/metering/reporter.go 'Conditions: []metadata.Condition{work.term.Condition(), {Key: reportKey(work.next)}, work.newest},' 'Conditions: []metadata.Condition{{Key: reportKey(work.next)}, work.newest},' ./internal/metering
mutate 'older tally wins' internal/metering/ledger.go 'known.GetSequence() < tally.GetSequence()' 'known.GetSequence() != tally.GetSequence()' ./internal/metering
mutate 'refused run counted as usage' internal/forwarding/run.go 'return result.response.NotExecuted' 'return false' ./internal/forwarding
mutate 'successor does not wait' internal/weights/election.go 'wait.Pause(ctx, election.Settings.HandoverWait)' '_ = election.Settings.HandoverWait' ./internal/weights
mutate 'last holder replaced too early' internal/weights/election.go 'if last == "" {' 'if last != election.Node {' ./internal/weights
mutate 'tallies not sent to the witness' internal/metering/tally_sender.go 'witness.send(ctx, sender.Recipients.Witness(), sender.isOwn)' '_ = witness' ./internal/metering
mutate 'revoked key accepted in a retry' internal/forwarding/run.go 'return run.call.KeyValid != nil && !run.call.KeyValid()' 'return run.call.KeyValid != nil && run.attempts == 0 && !run.call.KeyValid()' ./internal/forwarding
mutate "another tenant's job read" internal/batchrun/scope.go 'case !batch.MayUse(tenant, owner):' 'case !batch.MayUse(tenant, owner) && id == "":' ./internal/batchrun
mutate "another tenant's text used" internal/batchrun/kept.go 'key := keptKey{text.tenant, id}' 'key := keptKey{"", id}' ./internal/batchrun
mutate 'key refused by a lagging node' platform/ingress.go 'if !ingress.UpToDate() {' 'if ingress.UpToDate == nil {' ./platform
mutate 'announced newer version ignored' internal/dissemination/subscriber.go 'if _, lagging := subscriber.laggingSince(topic, now); lagging && topic.Prefix() == prefix {' 'if topic.Prefix() == "" {' ./internal/dissemination
mutate 'API key forwarded to a replica' platform/ingress.go 'maps.DeleteFunc(header, func(name string, _ []string) bool { return identifiesCaller(name) })' '_ = maps.DeleteFunc[http.Header]' ./cmd/thistlewalk-rollout
mutate 'all nodes run a job in an outage' internal/batchrun/delegation.go 'if delegation.local.Load() {' 'if delegation.target == "" {' ./internal/batchrun
mutate 'two nodes defer a job mutually' internal/batchrun/delegation.go 'owned.delegation.local.Store(true)' '_ = owned' ./internal/batchrun
mutate 'holder waits for known tallies' internal/metering/reporter.go ' || !work.collectedAt.Before(end.Add(deliveryAllowance)))' ')' ./internal/metering
mutate 'call outlasts a lost lease' internal/leadership/leadership.go 'remaining := term.Remaining() + grace' 'remaining := term.Remaining() + grace + time.Hour' ./internal/metering
mutate 'replica order stored by a former holder' internal/provisioning/provisioner.go 'txn := metadata.Txn{Conditions: []metadata.Condition{work.term.Condition()}}
	var stored' 'txn := metadata.Txn{}
	var stored' ./internal/provisioning
mutate 'stored replica orders forgotten' internal/provisioning/provisioner.go '		work.adopt(item)
	}
	for _, pool' '		_ = item
	}
	for _, pool' ./internal/provisioning
mutate 'replica order with a lost answer taken for accepted' internal/provisioning/provisioner.go 'pool.retryLater(time.Now())' 'work.settle(ctx, key, true)' ./internal/provisioning
mutate 'replicas given up although just ordered' internal/provisioning/decision.go 'pool.Unanswered || pool.Age < lowerAfter' 'pool.Unanswered || pool.Age < 0*lowerAfter' ./internal/provisioning
mutate 'replicas given up in silence' internal/provisioning/provisioner.go 'now.Sub(work.Loads.LastHeard()) > maxSilence ||' '' ./internal/provisioning
mutate 'items stay at a replica that is reclaimed' internal/batchrun/move.go 'scheduler.planDepartures(capacity)' '' ./internal/batchrun
mutate 'refusal not confirmed' internal/delivery/service.go 'if err := served.log.Append(ctx, nil, nil); err != nil {' 'if err := served.log.Failed(); err != nil {' ./internal/delivery
mutate 'hanging probe not abandoned' internal/metadata/health.go 'if notified || health.Good() {' 'if !notified || health.Good() {' ./internal/metadata
mutate 'slow probe abandoned repeatedly' internal/metadata/health.go 'if notified || health.Good() {' 'if health.Good() {' ./internal/metadata
mutate 'partial results lost on submit' internal/batchrun/service.go 'runner.kept.put(partial.GetItemId(), newKeptText(definition.GetId(), definition.GetTenant(), partial, started))' '_ = newKeptText(definition.GetId(), definition.GetTenant(), partial, started)' ./internal/batchrun
mutate 'deferred job not reclaimed' internal/batchrun/service.go 'other.delegation.reclaim()' '_ = other' ./internal/batchrun
mutate 'no backoff for a failing replica' internal/batchrun/generate.go 'runner.scheduler.recordFailure(replica.ID, time.Now())' '_ = time.Now' ./internal/batchrun
mutate 'item retried on its last replica' internal/batchrun/generate.go 'running.avoid, running.avoidUntil = replica.ID, now.Add(avoidAfterFailure)' '_ = avoidAfterFailure' ./internal/batchrun
mutate 'late removal deletes newer registers' internal/partition/replica.go 'write.RemovalSequence > 0 && register.newer(removal)' 'write.RemovalSequence < 0 && register.newer(removal)' ./internal/partition
mutate 'late write of a removed key stored' internal/partition/replica.go 'write.Epoch == replica.promised && replica.removals.cover(register)' 'write.Epoch < replica.promised && replica.removals.cover(register)' ./internal/partition
mutate 'removal outlasts its epoch' internal/partition/replica.go 'write.Epoch == replica.promised && replica.removals.cover(register)' 'replica.removals.cover(register)' ./internal/partition
mutate 'removed prefix leaves keys' internal/samplestore/store.go 'key, _ = cursor.Seek(prefix) {' 'key, _ = cursor.Next() {' ./internal/samplestore
mutate 'intact file set aside' internal/samplestore/store.go 'if !isDamage(err) {' 'if !isDamage(err) && folder == "" {' ./internal/samplestore
mutate 'unknown zone ordered first' internal/provisioning/decision.go 'known != plan.isKnown(other) {' 'known && other == nil {' ./internal/provisioning
mutate 'crashes not reported to nodes' internal/quarantine/outbox.go 'if guard.Broadcaster == nil || notice.empty() {' 'if guard.Broadcaster == nil || notice.Reporter == "" {' ./internal/quarantine
mutate 'quarantine not stored' internal/quarantine/record_store.go 'if known.Crashes < quarantineThreshold || stored.crashes >= known.Crashes {' 'if known.Crashes > 0 || stored.crashes >= known.Crashes {' ./internal/quarantine
mutate 'quarantine not published' internal/role/topics.go '		{Mirror: topics.quarantine},
' '' ./cmd/thistlewalk-rollout -run EndsReplicas
mutate 'answer does not clear suspicion' internal/quarantine/guard.go 'if !guard.Tracker.ClearAnswered(fingerprint, now) {
		return
	}
	guard.Metrics' 'if fingerprint != (Fingerprint{}) {
		return
	}
	guard.Metrics' ./internal/quarantine
mutate 'missed crashes not told' internal/quarantine/reconcile.go 'if lacking || disproved[fingerprint] {' 'if (lacking && len(replicas) == 0) || disproved[fingerprint] {' ./internal/quarantine
mutate 'every node replies' internal/quarantine/reconcile.go 'pending.crashes[crash.Replica] = true' '_ = pending' ./internal/quarantine
mutate 'crashes reported once' internal/quarantine/outbox.go 'time.AfterFunc(delay, send)' '_ = delay' ./internal/quarantine
mutate 'short record left as it is' internal/quarantine/reconcile.go 'if guard.reconciler.beginCheck(fingerprint) {' 'if fingerprint == (Fingerprint{}) {' ./internal/quarantine
mutate 'crash from before an answer counted' internal/quarantine/answered.go '!interruptedAt.IsZero() && !interruptedAt.After(answeredAt)' '!interruptedAt.IsZero() && interruptedAt.Before(answeredAt.Add(-time.Hour))' ./internal/quarantine
mutate 'answer clears later crashes' internal/quarantine/answered.go 'if occurred.After(moment) {' 'if occurred.IsZero() {' ./internal/quarantine
mutate 'reservations not told' internal/quarantine/guard.go 'if decision.Reservation.Duration > 0 {' 'if decision.Reservation.Duration < 0 {' ./internal/quarantine
mutate 'reservations of others ignored' internal/quarantine/reservation.go 'now.Before(entry.reserved.until) || entry.reserved.elsewhere(now)' 'now.Before(entry.reserved.until)' ./internal/quarantine
mutate 'running trial ignored' internal/quarantine/reservation.go 'sinceLastCrash >= due && running == 0 &&' 'sinceLastCrash >= due && running >= 0 &&' ./internal/quarantine
mutate 'turn kept by a caller that left' internal/quarantine/reservation.go 'return entry.unreserved || now.Before' 'return !entry.unreserved || now.Before' ./internal/quarantine
mutate 'trial that was not run keeps its turn' internal/quarantine/reservation.go 'known.reserved.runningUntil = time.Time{}' '_ = known' ./internal/quarantine
mutate 'answer from before a record clears it' internal/quarantine/answered.go 'occurred = entry.restoredAt' '_ = entry.restoredAt' ./internal/quarantine
mutate 'crashes in the order of reports' internal/quarantine/tracker.go 'entry.events[place-1].InterruptedAt.After(event.InterruptedAt) &&' 'entry.events[place-1].InterruptedAt.IsZero() &&' ./internal/quarantine
mutate 'failed trial keeps its turn' internal/quarantine/guard.go 'if body.trial && body.status >=' 'if body.trial && body.status < 0 && body.status >=' ./internal/quarantine
mutate 'interrupted answer not noticed' internal/quarantine/guard.go 'body.guard.answerLost(body.ctx, body.replica, body.request)' '_ = body.ctx' ./internal/quarantine
mutate 'abandoned requests not suspected' internal/quarantine/guard.go 'case errors.Is(err, backend.ErrConnectionRefused):
		guard.connectionRefused(replica)' 'case errors.Is(err, backend.ErrConnectionRefused):' ./internal/quarantine
mutate 'planned stop counted as a crash' internal/quarantine/guard.go 'return registered != nil && !registered.Draining' 'return registered != nil || replica != ""' ./internal/quarantine
mutate 'simultaneous crashes all counted' internal/quarantine/tracker.go 'interruptedAt.Sub(other.InterruptedAt).Abs() < simultaneousWindow' 'interruptedAt.Sub(other.InterruptedAt).Abs() < 0' ./internal/quarantine
mutate 'trial runs by all nodes at once' internal/quarantine/tracker.go '	case entry.reporter == tracker.node:
		return holdDuration' '	case tracker.node != "":
		return holdDuration' ./internal/quarantine
mutate 'unconditional quarantine write' internal/quarantine/record_store.go 'Conditions: []metadata.Condition{{Key: key, Revision: stored.revision}}, Puts' 'Conditions: []metadata.Condition{}, Puts' ./internal/quarantine
mutate 'events without a size limit' platform/events.go 'if reader.size+end > maxEventBytes {' 'if reader.size+end < 0 {' ./platform
mutate 'head without a time limit' platform/replicas.go 'time.AfterFunc(headTimeout, trace.closeConnection)' 'time.AfterFunc(time.Hour, trace.closeConnection)' ./platform
mutate 'informational answers without end' platform/replicas.go 'trace.informational > maxInformational' 'trace.informational < 0' ./platform
mutate 'control answers without end' platform/replicas.go 'if len(content) > maxControlBytes {' 'if len(content) < 0 {' ./platform
mutate 'service without replicas kept' internal/forwarding/forwarding.go 'if len(targets) > 1 && serves(target.Service) {' 'if len(targets) < 0 && serves(target.Service) {' ./internal/batchrun
mutate 'ejected replicas serve callers' internal/backend/load.go 'if !replica.Draining && !loads.read(replica.ID, 0, now).Ejected {' 'if !replica.Draining {' ./internal/forwarding
mutate 'ejected replicas serve items' internal/batchrun/targets.go 'if capacity.ejected(replica) || capacity.scheduler.refusesAll(replica.ID, capacity.now) {' 'if capacity.scheduler.refusesAll(replica.ID, capacity.now) {' ./internal/batchrun
mutate 'refusing replicas serve items' internal/batchrun/targets.go 'if capacity.ejected(replica) || capacity.scheduler.refusesAll(replica.ID, capacity.now) {' 'if capacity.ejected(replica) {' ./internal/batchrun
mutate 'texts of earlier jobs not fetched' internal/batchrun/submit.go 'runner.fetchFormerTexts(owned.ctx, owned)' '_ = owned.ctx' ./internal/batchrun -run 'AtAnotherNode'
mutate 'texts of any tenant fetched' internal/batchrun/former.go 'former.node == runner.Node || !runner.isOfTenant(former.id, owned.definition.GetTenant())' 'former.node == runner.Node' ./internal/batchrun -run 'AnotherTenantsJob'
mutate 'old refusals believed' internal/batchrun/targets.go 'now.Sub(last.since) >= refusalPatience && now.Sub(last.until) < refusalPatience' 'now.Sub(last.since) >= refusalPatience' ./internal/batchrun -run 'ComeBack'
mutate 'former owner not told' internal/batchrun/former.go 'if owned := runner.find(id); owned != nil && owned.isAccepted() && node != runner.Node {' 'if owned := runner.find(id); owned == nil && node == id {' ./internal/batchrun -run 'FormerOwnerLearns'
mutate 'outdated entries serve callers' internal/forwarding/run.go 'case result.err != nil, result.response.Misdirected():' 'case result.err != nil:' ./internal/forwarding -run 'OutdatedEntries'
mutate 'outdated entries serve items' internal/batchrun/generate.go 'ended == outcomeRefused && status == http.StatusMisdirectedRequest:' 'ended == outcomeRefused && status == 0:' ./internal/batchrun -run 'OutdatedEntries'
mutate 'full service waited for' internal/batchrun/targets.go 'case capacity.now.Sub(waiting.idleSince) < fullPatience:' 'case true:' ./internal/batchrun
mutate 'scores of answers without end' internal/batchrun/score.go 'err == nil && read > maxScoreBytes' 'err == nil && read < 0' ./internal/batchrun
mutate 'items pass the guard' internal/role/front.go 'Catalog: options.Catalog, Loads: loads, Sender: options.Sender,
		Decoder' 'Catalog: options.Catalog, Loads: loads, Sender: front.guard,
		Decoder' ./cmd/thistlewalk-rollout -run 'ItemIsOwed|UnderAnItem'
mutate 'requests bypass the guard' internal/role/front.go 'Catalog: options.Catalog, Loads: loads, Sender: front.guard, Zone' 'Catalog: options.Catalog, Loads: loads, Sender: options.Sender, Zone' ./cmd/thistlewalk-rollout -run EndsReplicas
mutate 'held request tried elsewhere' internal/forwarding/run.go 'if run.held == nil && (run' 'if (run' ./internal/forwarding
mutate 'term on the steady clock' internal/weights/term.go 'return term.until - term.clock.Elapsed()' 'return term.until - steadily.Elapsed()
}

var steadily = clock.Monotonic()

func init() {' ./internal/weights
mutate 'staleness on the steady clock' internal/dissemination/subscriber.go 'if elapsed-subscriber.lastCheckElapsed > pauseThreshold {
		return false
	}' 'if now.Sub(subscriber.lastCheckAt) > pauseThreshold {
		return false
	}' ./internal/dissemination
mutate 'usage time on the steady clock' internal/metering/clock.go 'monotonic: machine.Elapsed()}' 'monotonic: machine.Elapsed()/2}' ./internal/metering
mutate 'call deadline on the steady clock' internal/forwarding/run.go 'return run.deadline - run.clock.Elapsed() }' 'return run.deadline - run.clock.Elapsed() + time.Hour }' ./internal/forwarding
mutate 'backlog of one node not bounded' internal/room/share.go 'own.Waiting = min(own.Waiting, slots)' 'own.Waiting = max(own.Waiting, 0)' ./internal/room
mutate 'own report counted as others' internal/room/totals.go 'others.InFlight -= own.InFlight' 'others.InFlight -= 0' ./internal/room
mutate 'incomplete sums told' internal/room/summing.go 'return now >= summing.settled && ' 'return ' ./internal/room
mutate 'replies taken for sums' internal/room/exchange.go 'case "":' 'default:' ./internal/room
mutate 'late replies applied' internal/room/exchange.go 'totals.GetNode() == exchange.Target() && ' '' ./internal/room
mutate 'scarce share raised by a dip of slots' internal/room/room.go 'max(state.share, target))' 'max(state.share, target, float64(after)))' ./internal/room
mutate 'assumed window outlasts word' internal/room/window.go 'if window.assumed {' 'if false {' ./internal/room
mutate 'sums of a failover lack other zones' internal/room/summing.go 'early := ' 'early := false && ' ./internal/room
mutate 'windows fall without a bound' internal/room/window.go 'reached*maxDecrease' 'reached*0.1*maxDecrease' ./internal/room
mutate 'silent summing node kept' internal/room/target.go 'if now-max(heard, target.since) > WordTTL {' 'if now-max(heard, target.since) > 100*WordTTL {' ./internal/room
mutate 'own job accepted without its record' internal/batchrun/submit.go 'return acceptance{ownership: ownership, record: record}, nil' 'return acceptance{ownership: ownership}, nil' ./internal/batchrun -run 'Resubmitted|StartedEarly'
mutate 'listed items listed again' internal/batchrun/job.go 'owned.pending = slices.DeleteFunc(owned.pending, func(result *batchv1.Result) bool { return listed[result.GetItemId()] })' '_ = slices.DeleteFunc(owned.pending, func(*batchv1.Result) bool { return false })' ./internal/batchrun -run StartedEarly
mutate 'claims not waited for' internal/batchrun/takeover.go 'if !runner.awaitClaims(ctx) {' 'if ctx.Err() != nil {' ./internal/batchrun -run StopDuring
mutate 'jobs in the log not looked for' internal/batchrun/takeover.go 'if err != nil || len(ids) > 0 {' 'if err != nil {' ./internal/batchrun -run StopBefore
mutate 'uncertain writes ignored at a stop' internal/batchrun/takeover.go 'if runner.sweeps.writesUncertain(time.Now()) {' 'if runner.sweeps.writesUncertain(time.Time{}.Add(time.Hour)) && ctx.Err() != nil {' ./internal/batchrun -run StopAfter
mutate 'earlier processes left out' internal/batchrun/takeover.go 'batchlog.Origin{Node: node, Registration: &registration}' 'batchlog.Origin{Node: node, Incarnation: incarnation, Registration: &registration}' ./internal/batchrun -run TakeoverOf
mutate 'new process robbed' internal/batchlog/log.go 'return []metadata.Condition{owner, *origin.Registration}' 'return []metadata.Condition{owner}' ./internal/batchrun -run TakeoverLeaves
mutate 'connection closed without a reset' internal/network/discard.go 'tcp.SetLinger(0)' 'tcp.SetLinger(-1)' ./internal/network
mutate 'former orders not waited for' internal/weights/ledger.go 'return ledger.former[replica] > 0' 'return ledger.former[replica] < 0' ./internal/weights
mutate 'orders sent without a record' internal/weights/lead.go 'err := run.ledger.record(ctx, recorded)' 'err := run.ledger.record(ctx, recorded[:0])' ./internal/weights
mutate 'no pause after a former order' internal/weights/delivery.go 'awaited.pause = run.term.handoverWait' '_ = run.term.handoverWait' ./internal/weights
mutate 'unlisted replica asked later' internal/weights/delivery.go 'if replica != nil {
			changed = nil' 'if replica == nil {
			changed = nil' ./internal/weights
mutate 'end of the pause polled' internal/weights/delivery.go 'return delivery.arrivedAt.Add(delivery.pause).Sub(now)' 'return deliveryPoll' ./internal/weights
mutate 'recent process relays' internal/dissemination/topology.go 'return publisher.Registry.ListedWithin(node, relayWarmUp, now)' 'return publisher.Registry == nil' ./internal/dissemination
mutate 'listed again counts as new' internal/cluster/listed.go 'if !known || listed.incarnation' 'if known || listed.incarnation' ./internal/cluster
mutate 'success without an ID' platform/replicas.go 'return requestID == "" || status < http.StatusOK || status >= http.StatusMultipleChoices' 'return true || status < http.StatusOK || status >= http.StatusMultipleChoices' ./platform -run Send
mutate 'calls cut early at a stop' internal/role/front.go 'stopMarginShare = 1.0 / 7' 'stopMarginShare = 1.0 / 4' ./internal/role -run LongCalls
mutate 'late acceptance of an unregistered node' internal/batchlog/log.go '{Key: endedKey(job.GetId())}}, registered...)' '{Key: endedKey(job.GetId())}}, registered[:0]...)' ./internal/role ./internal/batchlog -run 'LateAcceptance|UnregisteredNode'
mutate 'late claim of an unregistered node' internal/batchlog/log.go 'append(from.conditions(metadata.Condition{Key: ownerKey(id), Revision: revision}), registered...)' 'append(from.conditions(metadata.Condition{Key: ownerKey(id), Revision: revision}), registered[:0]...)' ./internal/batchlog
mutate 'record removed despite late work' internal/cluster/registry.go 'append([]metadata.Condition{dead.Registration}, further...)' 'append([]metadata.Condition{dead.Registration}, further[:0]...)' ./internal/cluster
mutate 'overwritten record ignored' internal/cluster/registry.go 'return record == nil || record.GetLife() < registry.self.GetLife()' 'return record == nil && registry.self.GetLife() >= 0' ./internal/cluster
mutate 'late removal of a record' internal/cluster/registry.go 'registry.remove(ctx, []metadata.Condition{condition}, registry.self.GetName())' 'registry.remove(ctx, nil, registry.self.GetName())' ./internal/cluster
mutate 'late report stored again' internal/metering/reporter.go '{Key: reportKey(work.next)}, work.newest},' '{Key: reportKey(work.next)}},' ./internal/metering -run LateReport
mutate 'late first report stored again' internal/metering/reporter.go 'txn.Puts = append(txn.Puts, metadata.Put{Key: firstReportKey})' '_ = firstReportKey' ./internal/metering -run LateReport
mutate 'late list of orders' internal/weights/ledger.go 'ledger.term.Condition(), {Key: ledgerKey, Revision: ledger.revision}}' 'ledger.term.Condition()}' ./internal/weights
mutate 'idle connections kept in a stop' internal/role/front.go 'server.SetKeepAlivesEnabled(false)' 'server.SetKeepAlivesEnabled(true)' ./internal/role -run BeginsNoCall
mutate 'call begun that a stop may cut' platform/ingress.go 'if ingress.MayBeCut(call.TimeLimit(route)) {' 'if ingress.MayBeCut == nil {' ./platform -run StopMayCut
mutate 'reset taken for an end' internal/network/reset.go 'return controlErr != nil || err != nil || state != tcpCloseWait' 'return controlErr != nil || err != nil || state == 0' ./platform -run ResetDuring
mutate 'end taken for a reset' internal/network/reset.go 'return controlErr != nil || err != nil || state != tcpCloseWait' 'return controlErr != nil || err != nil || state != 0' ./platform -run EndsWithItsConnection -count 5
mutate 'status that is none' platform/answerhead.go 'response.StatusCode < http.StatusOK ||' 'response.StatusCode < 0 ||' ./platform -run Malformed
mutate 'blank in a name' platform/answerhead.go 'if strings.Contains(name, " ") {' 'if name == "" {' ./platform -run Malformed
mutate 'folded line' platform/answerhead.go "case line[0] == ' ' || line[0] == '\t':" "case line[0] == 0:" ./platform -run Malformed
mutate 'encoding under HTTP/1.0' platform/answerhead.go 'case conn.http10 && line == "transfer-encoding:":' 'case conn.http10 && line == "-":' ./platform -run Malformed
mutate 'removal without the entry of the end' internal/batchlog/collect.go '{{Key: endedKey(id), Revision: endedAt}, {Key: ownerKey(id)}}' '{{Key: ownerKey(id)}}' ./internal/batchlog -run 'Late|OldList|Partly'
mutate 'removal despite an owner' internal/batchlog/collect.go '{{Key: endedKey(id), Revision: endedAt}, {Key: ownerKey(id)}}' '{{Key: endedKey(id), Revision: endedAt}}' ./internal/batchlog -run Outdated
mutate 'chunks removed first' internal/batchlog/collect.go 'slices.Concat(ends, others, chunks,' 'slices.Concat(chunks, ends, others,' ./internal/batchlog -run EarlierBuilds
mutate 'end removed last' internal/batchlog/collect.go 'slices.Concat(ends, others, chunks,' 'slices.Concat(others, chunks, ends,' ./internal/batchlog -run Partly
mutate 'acceptance despite an entry of an end' internal/batchlog/log.go '{{Key: chunkKey(job.GetId(), 0)}, {Key: endedKey(job.GetId())}}' '{{Key: chunkKey(job.GetId(), 0)}}' ./internal/batchlog -run Partly
mutate 'empty first lines of an event lost' platform/events.go 'if reader.hasData {' 'if reader.event.Data != nil {' ./platform -run Event
mutate 'line feed after CR counts as a line' platform/events.go "reader.skipLineFeed = part[end] == '\\r'" 'reader.skipLineFeed = false' ./platform -run Event
mutate 'no trial more amid other crashes' internal/quarantine/coincidence.go 'entry.crashes < trialLimit || entry.coincidental' 'entry.crashes < trialLimit' ./internal/quarantine -run TrialAmid
mutate 'trials without end amid other crashes' internal/quarantine/attribution.go 'entry.crashes > trialLimit ||' 'entry.crashes > 2*trialLimit ||' ./internal/quarantine -run TrialAmid
mutate 'crashes before a hold excuse' internal/quarantine/coincidence.go 'suspected.events[max(0, len(suspected.events)-(suspected.crashes-holdThreshold)):]' 'suspected.events' ./internal/quarantine -run TrialAmid
mutate 'crashes of a culprit excuse' internal/quarantine/coincidence.go ' && !tracker.accountedFor(other.Replica, suspected.crashes, now)' '' ./internal/quarantine -run 'TrialAmid|PutDownToOne'
mutate 'own crashes excuse' internal/quarantine/coincidence.go ' && !suspected.hasCrash(other.Replica)' '' ./internal/quarantine -run 'TrialAmid|PutDownToOne'
mutate 'removed jobs remembered' internal/batchrun/ended.go 'if cache.retention > 0 &&' 'if cache.retention < 0 &&' ./internal/lab/latewrites -run Jobs
mutate 'results of removed jobs remembered' internal/batchrun/resultcache.go 'cache.retention > 0 &&' 'cache.retention < 0 &&' ./internal/batchrun -run RemovedJobs
mutate 'ends counted from their reading' internal/batchlog/record.go 'record.EndedAt, err = decodeTime(value)' 'record.EndedAt, err = time.Now(), error(nil)' ./internal/batchlog -run TimeOfEnd
mutate 'job left to a lost owner' internal/batchrun/takeover.go 'if still, err := runner.confirmOwned(runner.ctx, known); still || err != nil {' 'if err := runner.ctx.Err(); err == nil {' ./internal/batchrun -run TakenBack
mutate 'results of a successor taken for own' internal/batchlog/log.go 'owner.Revision == ownership.revision && found' 'owner.Revision >= 0 && found' ./internal/batchlog -run SameResults
mutate 'ended process registers again' internal/cluster/registry.go 'go registry.Register(registry.lifetime())' 'go registry.Register(context.WithoutCancel(registry.lifetime()))' ./internal/cluster -run EndedProcess
mutate 'evacuated job that nobody took rests' internal/batchrun/evacuate.go 'if !taken {' 'if ctx.Err() != nil {' ./internal/batchrun -run NobodyTakes
mutate 'connection closed under a call' internal/network/served.go 'if conn.busy {' 'if conn.busy && conn.closed {' ./internal/network -run StaysOpen
mutate 'call begun on a closed connection' internal/network/served.go 'conn.busy = !conn.closed' 'conn.busy, conn.closed = true, false' ./internal/network -run Idle
exit "$missed"
