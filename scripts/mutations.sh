#!/usr/bin/env bash
# Applies each one-line fault of docs/TESTING.md to a copy of the tree and checks that the tests named beside it catch it.
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
  rm -rf "$copy/tree" && mkdir "$copy/tree" && git ls-files | tar -cf - -T - | tar -xf - -C "$copy/tree"
  python3 - "$copy/tree/$file" "$pattern" "$replacement" <<'PY' || { echo "$name: the line has changed; mend this script"; missed=1; return; }
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
if text.count(old) != 1:
    sys.exit(1)
open(path, "w").write(text.replace(old, new))
PY
  if (cd "$copy/tree" && go build ./... && ! go test "$@" >"$copy/out" 2>&1); then
    printf '%-34s caught by %s\n' "$name" "$(grep -m1 -o -- '--- FAIL: [A-Za-z_/]*' "$copy/out" | cut -c11-)"
  else
    printf '%-34s NOT CAUGHT\n' "$name"
    missed=1
  fi
}
mutate 'fence not checked' internal/partition/replica.go 'if write.Epoch < replica.promised {' 'if false {' ./internal/partition/...
mutate 'read quorum too small' internal/partition/table.go 'return n - WriteQuorum(n) + 1' 'return 1' ./internal/partition/...
mutate 'older register wins' internal/partition/replica.go 'return register.Sequence > other.Sequence' 'return register.Sequence < other.Sequence' ./internal/partition/...
mutate 'dedupe skipped' internal/step/step.go 'if state.Sample != nil || step.Progress.State != StateOpen {' 'if step.Progress.State != StateOpen {' ./internal/step/...
mutate 'bound not checked' internal/step/step.go 'if staleness.Exceeds(bound) {' 'if false {' ./internal/step/...
mutate 'delivered slot offered again' internal/step/step.go 'if state.Sample != nil && !step.batched[state.Slot] {' 'if state.Sample != nil {' ./internal/step/...
mutate 'claim granted twice' internal/claim/book.go 'case exists && present.Token == wish.Token:' 'case exists && !present.Settled:' ./internal/claim/...
mutate 'lost history not told' internal/claim/book.go 'case book.mayBeForgotten(wish.RequestID, now):' 'case false:' ./internal/claim/...
mutate 'not run after a write' internal/engine/http.go 'return nil, errors.Mark(errors.Wrap(err, "engine"), ErrBroken)' 'return nil, errors.Mark(errors.Wrap(err, "engine"), ErrNotAccepted)' ./internal/engine/...
mutate 'revision without comparison' internal/configuration/follower.go 'if document.Revision <= follower.document.Load().Revision {' 'if document.Revision == 0 {' ./internal/configuration/...
mutate 'late chunk taken' internal/rollout/transcript.go 'if chunk.RequestID != transcript.requestID || chunk.Attempt != transcript.attempt {' 'if chunk.RequestID != transcript.requestID {' ./internal/rollout/...
mutate 'span of the order, not the chunk' internal/rollout/transcript.go 'AppendSpan(transcript.spans, chunk.Version, len(chunk.TokenIDs))' 'AppendSpan(transcript.spans, 1, len(chunk.TokenIDs))' ./internal/lab/simulation -rapid.shrinktime=1s
mutate 'refutation skipped' internal/membership/table.go 'own.member.Incarnation = news.Incarnation + 1' 'own.member.Incarnation = news.Incarnation' ./internal/membership/...
mutate 'claims skipped' internal/gateway/completion.go 'if prepared.repeatable {' 'if true {' ./internal/lab/simulation -rapid.shrinktime=1s
mutate 'engine fence not checked' internal/lab/platform/orders.go 'return next.Holder == present.Holder && next.Revision >= present.Revision' 'return true' ./internal/home/...
exit "$missed"
