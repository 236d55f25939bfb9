#!/usr/bin/env bash
# Runs the main job on the embedded stand-ins: scripts/demo.sh [menu|hallavegir]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh release
exec build/release/tools/archdyke-demo "${1:-menu}"
