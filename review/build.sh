#!/usr/bin/env bash
# Builds the stand-ins of the review, and the program as the deploy file builds it if it is not there yet.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -x target/thistlewalk-rollout ] || go build -ldflags=-linkmode=external -o target/ ./cmd/thistlewalk-rollout
go build -o review/bin/standins ./review/standins
