#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 13 start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin3 ./review/standin3
