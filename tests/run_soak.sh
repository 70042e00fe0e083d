#!/bin/sh
# Plays the seeds of tests/soak/SEEDS.txt for half a minute each, two at a time.
# The argument is the build folder.
if [ "$1" = --one ]; then
	[ "$4" = all ] && only= || only="--only $4"
	text=$(python3 tests/soak/soak.py "$2/fescuesaddle-gateway" --seed "$3" \
		$only --seconds 30 2>&1)
	status=$?
	printf '%s\n' "seed $3, faults $4" "$text"
	exit $status
fi
sed -n 's/^\([0-9][0-9]*\) \([a-z_,]*\) .*/\1 \2/p' tests/soak/SEEDS.txt |
	xargs -P 2 -L 1 sh "$0" --one "$1"
