#!/usr/bin/env bash
# Two contents that crash workers are sent again and again; the workers come back under
# their ids. Exits with 1 if the rule BUDGET was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0: the same contents crash nothing.
# What was sent, answered and run is written to record.txt in this folder.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review-2/standin2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/standin2 crashing-request "$folder"
