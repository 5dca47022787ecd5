#!/usr/bin/env bash
# All machines but one are lost for good shortly before a final fault. Exits with
# 1 if the rule RECOVER was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0: no machine is lost; the final fault stays.
# What was sent, answered and run is written to record.txt in this folder.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/review-2/standin2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/standin2 loss-and-restart "$folder"
