#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review/ ./review/standin
