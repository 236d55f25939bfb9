#!/usr/bin/env bash
# Checks that nothing under src/ or include/ names headers, calls, fields or variables of the users'
# platform; only platform/ may. With --self-test: shows that the check fails when such a name is added.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Archdyke-(Request-Id|Deadline-Ms|Tenant|Expect-Instance|Instance-Id|Server-Stamp|Not-Executed|Model-Name|Token-Count|Prompt-Prefix)|X-Api-Key|Last-Event-Id|Length-Hint|At-Server|Server-Leaving|rows-(tx|feed|get|parts)|blob-(put|get|drop|list)|expectedRev|sinceRev|targetVersion|routeKind|apiKeys|sloMs|gap_aim_ms|kvUsed|kvTotal|coldLeftMs|per_seq_ms|expert_mb|"/(picked|order|report)"|ARCHDYKE_NODE_FILE|#include "(codec|documents|engine|names|store_client)\.h"'
if [ "${1:-}" = --self-test ]; then
	probe=src/platform_name_probe.h
	trap 'rm -f "$probe"' EXIT
	echo '// GET /rows-feed' > "$probe"
	if "$0" >/dev/null 2>&1; then
		echo "the check of platform names did not detect an added name" >&2
		exit 1
	fi
	exit 0
fi
if grep -rnE "$names" src include --include='*.h' --include='*.cpp' --include='*.capnp'; then
	echo "names of the platform belong in platform/: decode them there into types of archdyke" >&2
	exit 1
fi
echo "no platform names outside platform/"
