#!/usr/bin/env bash
# Regenerates gen/ from the schema with the generators pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
go tool -modfile=../tools/go.mod buf lint
go tool -modfile=../tools/go.mod buf generate
