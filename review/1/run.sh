#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -n "$run" ] && [ -x review/bin/upgrade ] || exit 2
CASE="$PWD/review/1" ROOT="$PWD" RUN="$run" TROUBLE="${TROUBLE:-1}" exec review/bin/upgrade
