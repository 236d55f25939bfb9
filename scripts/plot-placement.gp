# Skew against experts moved, one point a version. Reads placement-N.tsv.
set datafile separator "\t"
set terminal svg size 760,420 font "sans,12"
set key outside right
set xlabel "experts staged (log)"
set ylabel "p99 skew, %"
set logscale x
set output "placement-12-ranks.svg"
set title "12 ranks: p99 skew against experts staged (never move is at 1)"
plot "placement-0.tsv" using ($4>0?$4:1):3:1 with labels point pt 7 offset 0,1 title "menu season", \
     "placement-1.tsv" using ($4>0?$4:1):3:1 with labels point pt 5 offset 0,-1 title "cycling season"
set output "placement-128-ranks.svg"
set title "128 ranks: p99 skew against experts staged (never move is at 1)"
plot "placement-2.tsv" using ($4>0?$4:1):3:1 with labels point pt 7 offset 0,1 title "menu season", \
     "placement-3.tsv" using ($4>0?$4:1):3:1 with labels point pt 5 offset 0,-1 title "cycling season"
