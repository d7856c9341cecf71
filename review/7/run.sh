#!/bin/bash
# Plays this case with the program of the deploy file. Needs its build and review/build-2.sh. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/release/sassafrasgap-sidecar ] && [ -x target/review-2/harness ] || exit 2
exec target/review-2/harness reused-caller "$folder"
