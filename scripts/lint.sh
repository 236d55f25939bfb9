#!/usr/bin/env bash
# Runs the formatter check, the linter and the lock analysis (-Wthread-safety); fails on any finding.
# --fix only formats the files in place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*' 'src/decide/*' 'include/*.h' 'tools/*.h' 'tools/*.cpp' 'tests/*.h' 'tests/*.cpp' | grep -v '^src/generated/' | sort -u)
if [ "${1:-}" = --fix ]; then
	clang-format -i "${files[@]}"
	exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
echo "formatter: clean"
printf '%s\n' "${files[@]}" | grep '\.cpp$' | grep -E '^(src|tools|platform)/' \
	| xargs -P "$(nproc)" -n 2 clang-tidy -p build/release --quiet --warnings-as-errors='*' --extra-arg=-Wthread-safety 2>/dev/null
echo "linter: clean"
