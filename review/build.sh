#!/usr/bin/env bash
# Builds the stand-ins of all cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/cases/...
