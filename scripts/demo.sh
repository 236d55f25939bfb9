#!/usr/bin/env bash
# Runs the demo on the stubs: scripts/demo.sh [menu|hallavegir]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh release
exec build/release/tools/archdyke-demo "${1:-menu}"
