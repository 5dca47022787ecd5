#!/usr/bin/env bash
# Lints the schema and regenerates gen/ with the generators pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
go tool -modfile=../tools/go.mod buf lint
go tool -modfile=../tools/go.mod buf generate
