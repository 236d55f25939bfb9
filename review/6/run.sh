#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 plays without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=build/review-2/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/archdyke-gateway ] || { echo "build target/ and run review/build-2.sh first"; exit 2; }
timeout -k 2 110 "$program" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
