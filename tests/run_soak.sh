#!/bin/sh
# Plays the seeds of tests/soak/SEEDS.txt for half a minute each. The argument is
# the build folder.
status=0
while read -r seed faults cause; do
	case $seed in "#"*) continue ;; esac
	[ "$faults" = all ] && only= || only="--only $faults"
	echo "seed $seed, faults $faults, plays since: $cause"
	python3 tests/soak/soak.py "$1/fescuesaddle-gateway" --seed "$seed" $only \
		--seconds 30 </dev/null || status=1
done <tests/soak/SEEDS.txt
exit $status
