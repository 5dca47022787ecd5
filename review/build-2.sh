#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2/standin2 ./review/standin2
