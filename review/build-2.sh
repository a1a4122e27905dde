#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases 4 to 8.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/harness2
