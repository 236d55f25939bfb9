#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[4-6]/case.cpp; do
	[ -e "$source" ] || continue
	name=$(basename "$(dirname "$source")")
	g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/standins-2 "$source" -o "build/review-2/case-$name"
done
