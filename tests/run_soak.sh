#!/bin/sh
# Plays the seeds of tests/soak/SEEDS.txt for half a minute each. The argument is
# the build folder.
status=0
for seed in $(sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak/SEEDS.txt); do
	python3 tests/soak/soak.py "$1/fescuesaddle-gateway" --seed "$seed" \
		--seconds 30 || status=1
done
exit $status
