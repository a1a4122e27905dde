#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=../..
[ -x "$root/target/review-2/harness2" ] && [ -x "$root/target/thistlewalk-rollout" ] || { echo "build first: the deploy file's build, then review/build-2.sh" >&2; exit 2; }
exec "$root/target/review-2/harness2" -case stop -record record.txt -binary "$root/target/thistlewalk-rollout"
