# Plots skew and staged experts of each placement version, for both seasons. Reads placement-N.tsv.
set datafile separator "\t"
set terminal svg size 900,420 font "sans,12"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set boxwidth 0.9
set grid ytics
set xtics rotate by -25 font ",10"
set key top right
set lmargin 10
set rmargin 9
set bmargin 8
do for [size in "12 128"] {
	menu = size eq "12" ? "placement-0.tsv" : "placement-2.tsv"
	cycling = size eq "12" ? "placement-1.tsv" : "placement-3.tsv"
	set output sprintf("placement-%s-ranks.svg", size)
	set multiplot layout 1,2 title sprintf("Placement, %s ranks", size)
	set key top right
	unset logscale y
	set yrange [0:*]
	set ylabel "p99 skew, %"
	plot menu using 3:xtic(1) title "menu season", cycling using 3 title "cycling season"
	unset key
	set logscale y
	set yrange [10:1e6]
	set ylabel "experts staged"
	plot menu using 4:xtic(1) title "menu season", cycling using 4 title "cycling season"
	unset multiplot
}
