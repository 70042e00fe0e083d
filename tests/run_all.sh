#!/bin/sh
# Runs every unit, property and process test below the build folder given as
# the first argument, a few at a time. Tests listed in KNOWN-RED.txt are run,
# printed and not counted as failures. The last line is "N passed, N failed".
build=${1:-build}
jobs=${TEST_JOBS:-4}
logs="$build/test-logs"
export RC_PARAMS="${RC_PARAMS:-seed=20261204 max_success=300}"
export LIMIT_S=300

if [ "$1" = --one ]; then
	# --one BUILD TEST: run one test and leave its verdict beside its log.
	name=$(basename "$3")
	start=$(date +%s)
	timeout $LIMIT_S "$3" "$2" >"$2/test-logs/$name.log" 2>&1
	rc=$?
	took=$(($(date +%s) - start))
	echo "$rc" >"$2/test-logs/$name.rc"
	case $rc in
	0) echo "ok       $name ($took s)" ;;
	*) echo "exit $rc   $name ($took s)" ;;
	esac
	exit 0
fi

rm -rf "$logs"
mkdir -p "$logs"
# The long process tests first, so that they run beside each other.
for t in "$build"/run_* "$build"/prop_* "$build"/unit_*; do
	[ -f "$t" ] && [ -x "$t" ] && echo "$t"
done | xargs -P "$jobs" -I{} "$0" --one "$build" {}

passed=0
failed=0
for rc in "$logs"/*.rc; do
	[ -f "$rc" ] || continue
	name=$(basename "$rc" .rc)
	if [ "$(cat "$rc")" -eq 0 ]; then
		passed=$((passed + 1))
	elif grep -q "^$name\\b" KNOWN-RED.txt 2>/dev/null; then
		echo "KNOWN RED: $(grep "^$name\\b" KNOWN-RED.txt)"
	else
		echo "FAILED: $name"
		tail -n 60 "$logs/$name.log"
		failed=$((failed + 1))
	fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
