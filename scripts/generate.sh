#!/usr/bin/env bash
# Generates the Cap'n Proto code from src/*.capnp into src/generated.
# With --check: fails when the committed code doesn't match its schema, and changes nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/generated
check=0
if [ "${1:-}" = --check ]; then check=1; out=$(mktemp -d); trap 'rm -rf "$out"' EXIT; fi
for schema in rpc rank; do
	capnp compile --src-prefix=src -oc++:"$out" "src/$schema.capnp"
	mv "$out/$schema.capnp.c++" "$out/$schema.capnp.cpp"
	if [ "$check" = 1 ]; then
		diff -q "$out/$schema.capnp.h" "src/generated/$schema.capnp.h" && diff -q "$out/$schema.capnp.cpp" "src/generated/$schema.capnp.cpp" \
			|| { echo "src/generated does not match src/$schema.capnp: run scripts/generate.sh and commit it" >&2; exit 1; }
	fi
done
[ "$check" = 0 ] || echo "generated code matches its schema"
