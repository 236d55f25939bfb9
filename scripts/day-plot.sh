#!/usr/bin/env bash
# Plots the outcomes of the requests of a played day, by the second of their first attempt, and prints
# the prices that reduced the worth most.
#   scripts/day-plot.sh RUN.txt OUT.svg     RUN.txt: output of a run of the bench of the users' platform
set -euo pipefail
run=$1 out=$2
data=$(mktemp)
trap 'rm -f "$data"' EXIT
# Columns 1 and 3 to 6 of the table "from second": second, in aim, late, refused, failed.
awk '/^from second/ {on=1; next} on && NF < 9 {on=0} on {print $1, $3, $4, $5, $6}' "$run" >"$data"
gnuplot <<GNUPLOT
set terminal svg size 900,360 font "sans,11"
set output "$out"
set style data histograms
set style histogram rowstacked
set style fill solid 0.9 noborder
set boxwidth 0.95
set key outside top horizontal
set xlabel "second of the day of the first attempt"
set ylabel "requests"
set xtics rotate by 0 scale 0
plot "$data" using 2:xtic(int(\$0) % 5 == 0 ? stringcolumn(1) : "") title "in aim" lc rgb "#3b7d4f", "" using 3 title "late" lc rgb "#d9b44a", "" using 4 title "refused" lc rgb "#b5533c", "" using 5 title "failed" lc rgb "#4a4a4a"
GNUPLOT
echo "lost worth (share of the worth owed):"
sed -nE 's/^worth ([-0-9.]+) = (.*) less prices/  worth \1: \2/p' "$run"
sed -nE 's/^  -(0\.[0-9]+)  (.*)/\1 \2/p' "$run" | sort -rn | head -n 6 | sed 's/^/  price /'
