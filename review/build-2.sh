#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin/review-2
CGO_ENABLED=0 go build -o bin/review-2/ ./review/cases2/...
