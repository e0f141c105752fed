#!/usr/bin/env bash
# Plays the case "gone" and exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 plays it without the disruption. It needs the build of the
# deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] && [ -x target/citronpierd ] || exit 2
exec target/review/standin gone target/citronpierd "$here/record.txt"
