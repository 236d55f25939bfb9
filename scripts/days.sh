#!/usr/bin/env bash
# Plays the days of tests/days, each with one fault or two, with the bench of the users' platform and
# prints a table.
#   scripts/days.sh BENCH SITE [NAME...]      BENCH: path of fleetbench; SITE: a site file
# Not run in CI, as it needs the users' bench.
set -euo pipefail
cd "$(dirname "$0")/.."
export bench=$1 site=$2
shift 2
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
	mapfile -t names < <(find tests/days -name '*.toml' -printf '%f\n' | sed 's/\.toml$//' | sort)
fi

play()
{
	local out line rule state=kept
	out=$("$bench" run "$site" "tests/days/$1.toml" 2>&1) || true
	line=$(grep -E "^$1 " <<<"$out" | head -n 1) || true
	rule=$(grep -E '\b(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|ORDER|RECOVER|MAP|fault)\b' <<<"$out" | head -n 1 | cut -c1-150) || true
	[ -z "$rule" ] || state=BROKEN
	if [ -z "$line" ]; then
		state=UNPLAYED
		rule=$(tail -n 1 <<<"$out" | cut -c1-150)
	fi
	printf '%-34s %-9s %-7s %-7s %s\n' "$1" "$state" "$(awk '{print $4}' <<<"$line")" "$(awk '{print $5}' <<<"$line")" "$rule"
}
export -f play

"$bench" build >/dev/null
printf '%-34s %-9s %-7s %-7s %s\n' day rules worth served first
printf '%s\n' "${names[@]}" | xargs -P "${JOBS:-4}" -I{} bash -c 'play "$1"' _ {} | sort | tee /tmp/archdyke-days.$$
broken=$(grep -cE ' (BROKEN|UNPLAYED) ' /tmp/archdyke-days.$$ || true)
rm -f /tmp/archdyke-days.$$
echo "$broken of ${#names[@]} days broken or unplayed"
[ "$broken" = 0 ]
