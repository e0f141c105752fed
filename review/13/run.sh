#!/usr/bin/env bash
# Runs case 13. It exits with 1 if the rule was broken, 0 if it held, and 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/citronpierd ] || [ ! -x target/review-standin3 ]; then
  echo "build the programs of the deploy file first, and run review/build-3.sh" >&2
  exit 2
fi
exec target/review-standin3 part review/13
