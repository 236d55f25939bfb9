#!/usr/bin/env bash
# Injects seeded faults into a complete office: scripts/chaos.sh [--seed N] [--seeds N] [--faults N] [--file FILE]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh release
exec build/release/tools/archdyke-chaos "$@"
