#!/usr/bin/env bash
# Builds and runs all tests: scripts/test.sh [PRESET]
# Tests listed in KNOWN-RED.txt are run and shown, but don't fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
scripts/setup.sh "$preset"
scripts/check-decide.sh
scripts/check-platform.sh --self-test
scripts/check-platform.sh
scripts/generate.sh --check
red=$(sed -nE 's/^([A-Za-z0-9_]+):.*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$red" ]; then
	echo "known failures (KNOWN-RED.txt), run but not counted:"
	cat KNOWN-RED.txt
	ctest --test-dir "build/$preset" --output-on-failure -R "^($red)\$" || true
	exec ctest --test-dir "build/$preset" --output-on-failure -E "^($red)\$"
fi
exec ctest --test-dir "build/$preset" --output-on-failure
