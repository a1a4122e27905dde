#!/usr/bin/env bash
# Applies each one-line fault of docs/TESTING.md to a copy of the last commit and checks that the tests named beside it catch it.
# Exit code 1 if a fault stays unseen.
set -uo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0
# mutate NAME FILE 'PATTERN' 'REPLACEMENT' PACKAGES: the pattern must stand in the file once, as fixed text.
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
  elif (cd "$copy/tree" && ! go test "$@" >"$copy/out" 2>&1); then
    printf '%-34s caught by %s\n' "$name" "$(grep -m1 -o -- '--- FAIL: [A-Za-z_/]*' "$copy/out" | cut -c11-)"
  else
    printf '%-34s NOT CAUGHT\n' "$name"
    missed=1
  fi
}
mutate 'fence not checked' internal/partition/replica.go 'if write.Epoch < replica.promised {' 'if write.Epoch == 0 {' ./internal/partition/...
mutate 'read quorum too small' internal/partition/table.go 'return n - WriteQuorum(n) + 1' 'return 1' ./internal/partition/...
mutate 'older register wins' internal/partition/replica.go 'return register.Sequence > other.Sequence' 'return register.Sequence < other.Sequence' ./internal/partition/...
mutate 'sequence counted anew' internal/partition/log.go 'log.sequence = recovery.AfterSequence' 'log.sequence = 0' ./internal/partition/...
mutate 'log not retired' internal/partition/log.go 'log.failed = errRetired' '_ = errRetired' ./internal/partition/...
mutate 'set of stores shrinks' internal/partition/takeover.go 'if name.Kind != KindSteps {' 'if name.Kind != "" {' ./internal/partition/...
mutate 'dedupe skipped' internal/step/step.go 'if state.Sample != nil || step.Progress.State != StateOpen {' 'if step.Progress.State != StateOpen {' ./internal/step/...
mutate 'bound not checked' internal/step/step.go 'if staleness.Exceeds(bound) {' 'if staleness.Exceeds(experiment.Bound{}) {' ./internal/step/...
mutate 'delivered slot offered again' internal/step/step.go 'if state.Sample != nil && !step.batched[state.Slot] {' 'if state.Sample != nil {' ./internal/step/...
mutate 'claim granted twice' internal/claim/registry.go 'case exists && existing.Token == claim.Token:' 'case exists && !existing.Settled:' ./internal/claim/...
mutate 'lost history not told' internal/claim/registry.go 'case registry.mayHaveLost(claim.RequestID, now):' 'case claim.RequestID == "":' ./internal/claim/...
mutate 'not run after a write' internal/engine/http.go 'return nil, errors.Mark(errors.Wrap(err, "engine"), ErrBroken)' 'return nil, errors.Mark(errors.Wrap(err, "engine"), ErrNotAccepted)' ./internal/engine/...
mutate 'revision without comparison' internal/configuration/follower.go 'if document.Revision <= follower.document.Load().Revision {' 'if document.Revision == 0 {' ./internal/configuration/...
mutate 'late chunk taken' internal/rollout/transcript.go 'if chunk.RequestID != transcript.requestID || chunk.Attempt != transcript.attempt {' 'if chunk.RequestID != transcript.requestID {' ./internal/rollout/...
mutate 'span of the order, not the chunk' internal/rollout/transcript.go 'AppendSpan(transcript.spans, chunk.Version, len(chunk.TokenIDs))' 'AppendSpan(transcript.spans, 1, len(chunk.TokenIDs))' ./internal/lab/simulation -rapid.shrinktime=1s
mutate 'refutation skipped' internal/membership/table.go 'own.member.Incarnation = update.Incarnation + 1' 'own.member.Incarnation = update.Incarnation' ./internal/membership/...
mutate 'claims skipped' internal/gateway/completion.go 'if prepared.repeatable {' 'if prepared.requestID != "" {' ./internal/lab/simulation -rapid.shrinktime=1s
mutate 'engine fence not checked' internal/lab/platform/orders.go 'return next.Holder == present.Holder && next.Revision >= present.Revision' 'return true' ./internal/home/...
mutate 'report sent before it is stored' internal/metering/reporter.go '_, err = work.Store.Commit(callCtx, txn)' '_, err = work.Store.Commit(callCtx, metadata.Txn{Deletes: txn.Deletes})' ./internal/metering
mutate 'report stored by a former holder' internal/metering/reporter.go 'Conditions: []metadata.Condition{work.term.Condition(), {Key: reportKey(work.next)}},' 'Conditions: []metadata.Condition{{Key: reportKey(work.next)}},' ./internal/metering
mutate 'older tally wins' internal/metering/ledger.go 'known.GetSequence() < tally.GetSequence()' 'known.GetSequence() != tally.GetSequence()' ./internal/metering
mutate 'run that was refused is counted' internal/forwarding/run.go 'return result.response.NotExecuted' 'return false' ./internal/forwarding
mutate 'successor does not wait' internal/weights/election.go 'wait.Pause(ctx, election.Settings.HandoverWait)' '_ = election.Settings.HandoverWait' ./internal/weights
mutate 'waiting holder counts as the last' internal/weights/election.go 'if last == "" {' 'if last != election.Node {' ./internal/weights
mutate 'no witness' internal/metering/tally_sender.go 'witness.send(ctx, sender.Recipients.Witness(), sender.isOwn)' '_ = witness' ./internal/metering
mutate 'revoked key in a retry' internal/forwarding/run.go 'return run.call.KeyValid != nil && !run.call.KeyValid()' 'return run.call.KeyValid != nil && run.attempts == 0 && !run.call.KeyValid()' ./internal/forwarding
mutate "another tenant's job read" internal/batchrun/scope.go 'if strings.Contains(named, batch.ScopeSeparator) {' 'if strings.Contains(named, batch.ScopeSeparator) && named == "" {' ./internal/batchrun
mutate "another tenant's text used" internal/batchrun/kept.go 'id = batch.InScopeOf(text.job, id)' '_ = batch.InScopeOf(text.job, id)' ./internal/batchrun
mutate 'key denied by a node that is behind' platform/ingress.go 'if !ingress.UpToDate() {' 'if ingress.UpToDate == nil {' ./platform
mutate 'behind though told of a newer version' internal/dissemination/subscriber.go 'if _, lagging := subscriber.laggingSince(topic, now); lagging && topic.Prefix() == prefix {' 'if topic.Prefix() == "" {' ./internal/dissemination
mutate 'key passed on' platform/ingress.go 'maps.DeleteFunc(header, func(name string, _ []string) bool { return identifiesCaller(name) })' '_ = maps.DeleteFunc[http.Header]' ./cmd/thistlewalk-rollout
mutate 'all nodes run a job in an outage' internal/batchrun/delegation.go 'if delegation.local.Load() {' 'if delegation.target == "" {' ./internal/batchrun
mutate 'jobs left to each other' internal/batchrun/delegation.go 'owned.delegation.local.Store(true)' '_ = owned' ./internal/batchrun
mutate 'holder waits to be told what it knows' internal/metering/reporter.go ' || !work.collectedAt.Before(end.Add(deliveryAllowance)))' ')' ./internal/metering
mutate 'call outlasts a lost lease' internal/metering/reporter.go 'remaining := work.term.Remaining() + work.CallGrace' 'remaining := work.term.Remaining() + work.CallGrace + time.Hour' ./internal/metering
mutate 'refusal not confirmed' internal/delivery/service.go 'if err := served.log.Append(ctx, nil, nil); err != nil {' 'if err := served.log.Failed(); err != nil {' ./internal/delivery
mutate 'probe that hangs is waited for' internal/metadata/health.go 'if notified || health.Good() {' 'if !notified || health.Good() {' ./internal/metadata
mutate 'slow probe left again and again' internal/metadata/health.go 'if notified || health.Good() {' 'if health.Good() {' ./internal/metadata
mutate 'what was made stays behind' internal/batchrun/service.go 'runner.kept.put(partial.GetItemId(), textOf(definition.GetId(), partial, started))' '_ = textOf(definition.GetId(), partial, started)' ./internal/batchrun
mutate 'job not taken back' internal/batchrun/service.go 'other.delegation.reclaim()' '_ = other' ./internal/batchrun
mutate 'replica that fails is not left alone' internal/batchrun/generate.go 'runner.scheduler.recordFailure(replica.ID, time.Now())' '_ = time.Now' ./internal/batchrun
mutate 'item goes back to who failed it' internal/batchrun/generate.go 'running.avoid, running.avoidUntil = replica.ID, now.Add(avoidAfterFailure)' '_ = avoidAfterFailure' ./internal/batchrun
mutate 'nodes tell nobody of ends' internal/quarantine/outbox.go 'if guard.Broadcaster == nil {' 'if guard.Broadcaster == nil || notice.Reporter == "" {' ./internal/quarantine
mutate 'quarantine not kept' internal/quarantine/record_store.go 'if known.Crashes < quarantineThreshold || stored.crashes >= known.Crashes {' 'if known.Crashes > 0 || stored.crashes >= known.Crashes {' ./internal/quarantine
mutate 'quarantine not published' internal/role/topics.go '		{Mirror: topics.quarantine},
' '' ./cmd/thistlewalk-rollout -run EndsReplicas
mutate 'an answer clears nothing' internal/quarantine/guard.go 'if !guard.Tracker.Clear(fingerprint) {
		return
	}
	guard.Metrics' 'if fingerprint != (Fingerprint{}) {
		return
	}
	guard.Metrics' ./internal/quarantine
mutate 'an answer that breaks off is not seen' internal/quarantine/guard.go 'body.guard.answerLost(body.ctx, body.replica, body.request)' '_ = body.ctx' ./internal/quarantine
mutate 'requests of callers that left forgotten' internal/quarantine/guard.go 'case errors.Is(err, backend.ErrConnectionRefused):
		guard.connectionRefused(replica)' 'case errors.Is(err, backend.ErrConnectionRefused):' ./internal/quarantine
mutate 'planned ends count' internal/quarantine/guard.go 'return registered != nil && !registered.Draining' 'return registered != nil || replica != ""' ./internal/quarantine
mutate 'ends at one moment count each' internal/quarantine/tracker.go 'interruptedAt.Sub(other.InterruptedAt).Abs() < simultaneousWindow' 'interruptedAt.Sub(other.InterruptedAt).Abs() < 0' ./internal/quarantine
mutate 'all nodes try at a time' internal/quarantine/tracker.go 'return claim.Exclusive || known.reporter == book.node ||' 'return claim.Exclusive || book.node != "" ||' ./internal/quarantine
mutate 'late write without its condition' internal/quarantine/record_store.go 'Conditions: []metadata.Condition{{Key: key, Revision: stored.revision}}, Puts' 'Conditions: []metadata.Condition{}, Puts' ./internal/quarantine
mutate 'items go round the guard' internal/role/front.go 'Catalog: options.Catalog, Loads: loads, Sender: front.guard,
		Decoder' 'Catalog: options.Catalog, Loads: loads, Sender: options.Sender,
		Decoder' ./cmd/thistlewalk-rollout -run EndsReplicas
mutate 'requests go round the guard' internal/role/front.go 'Catalog: options.Catalog, Loads: loads, Sender: front.guard, Zone' 'Catalog: options.Catalog, Loads: loads, Sender: options.Sender, Zone' ./cmd/thistlewalk-rollout -run EndsReplicas
mutate 'a held request is tried elsewhere' internal/forwarding/run.go 'if run.held == nil && (run' 'if (run' ./internal/forwarding
mutate 'term reads the steady clock' internal/weights/term.go 'return term.until - term.clock.Elapsed()' 'return term.until - steadily.Elapsed()
}

var steadily = clock.Steady()

func init() {' ./internal/weights
mutate 'knowledge ages by the steady clock' internal/dissemination/subscriber.go 'if elapsed-subscriber.lastCheckElapsed > pauseThreshold {
		return false
	}' 'if now.Sub(subscriber.lastCheckAt) > pauseThreshold {
		return false
	}' ./internal/dissemination
mutate 'usage is dated by the steady clock' internal/metering/clock.go 'monotonic: machine.Elapsed()}' 'monotonic: machine.Elapsed()/2}' ./internal/metering
mutate "a caller's time by the steady clock" internal/forwarding/run.go 'remaining := run.deadline - run.clock.Elapsed()' 'remaining := run.deadline - run.clock.Elapsed() + time.Hour' ./internal/forwarding
exit "$missed"
