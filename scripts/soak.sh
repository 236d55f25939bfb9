#!/usr/bin/env bash
# Seeded faults on the programs for the users' platform: scripts/soak.sh [--seed N] [--seeds N] [--faults N] [--series N] [--large]
# Prints a line a seed and what was violated; the logs of a seed with violations are kept.
set -euo pipefail
exec "$(dirname "$0")/chaos.sh" --platform "$@"
