#!/usr/bin/env bash
# Injects seeded faults into the programs for the users' platform: scripts/soak.sh [--seed N] [--seeds N] [--faults N] [--series N] [--limits N] [--restores N] [--stutters N] [--within-length] [--odd-rows N] [--crowd N] [--late-bodies N] [--uploads N] [--large]
# Prints one line per seed and its violations; keeps the logs of seeds with violations.
set -euo pipefail
exec "$(dirname "$0")/chaos.sh" --platform "$@"
