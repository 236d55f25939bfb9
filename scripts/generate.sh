#!/usr/bin/env bash
# Generates the Cap'n Proto code from src/rpc.capnp into src/generated.
# With --check: fails when the committed code doesn't match its schema.
set -euo pipefail
cd "$(dirname "$0")/.."
out=src/generated
check=0
if [ "${1:-}" = --check ]; then check=1; out=$(mktemp -d); trap 'rm -rf "$out"' EXIT; fi
capnp compile --src-prefix=src -oc++:"$out" src/rpc.capnp
mv "$out/rpc.capnp.c++" "$out/rpc.capnp.cpp"
if [ "$check" = 1 ]; then
	diff -q "$out/rpc.capnp.h" src/generated/rpc.capnp.h && diff -q "$out/rpc.capnp.cpp" src/generated/rpc.capnp.cpp \
		|| { echo "src/generated is older than src/rpc.capnp: run scripts/generate.sh and commit it" >&2; exit 1; }
	echo "generated code matches its schema"
fi
