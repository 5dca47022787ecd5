#!/usr/bin/env bash
# A content crashes workers, and all processes are killed between its attempts. Exits
# with 1 if the rule BUDGET was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0: nothing crashes and nothing is killed.
# What was sent, answered and run is written to record.txt in this folder.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review-2/standin2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/standin2 crash-and-restart "$folder"
