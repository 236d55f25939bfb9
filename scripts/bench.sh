#!/usr/bin/env bash
# Runs a bench: scripts/bench.sh placement|routing|overload|cost|groups|maps|shifts|overhead [--output json] [--plot DIR]
# --plot writes the bench's tables as SVG files, with gnuplot.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh release >&2
name=${1:?name a bench: placement, routing, overload, cost, groups, maps, shifts or overhead}
plot=""
arguments=("$@")
for ((i = 0; i < ${#arguments[@]}; ++i)); do
	[ "${arguments[$i]}" = --plot ] && plot=${arguments[$((i + 1))]}
done
[ -z "$plot" ] || mkdir -p "$plot"
build/release/tools/archdyke-bench "$@"
[ -n "$plot" ] && [ -f "scripts/plot-$name.gp" ] && (cd "$plot" && gnuplot "$OLDPWD/scripts/plot-$name.gp" && rm -f "$name"-*.tsv)
exit 0
