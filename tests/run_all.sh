#!/bin/sh
# Runs every unit, property and process test below the build folder given as
# the first argument. Tests listed in KNOWN-RED.txt are run, printed and not
# counted as failures. The last line is "N passed, N failed".
build=${1:-build}
passed=0
failed=0
export RC_PARAMS="${RC_PARAMS:-seed=20261204 max_success=300}"
logs="$build/test-logs"
mkdir -p "$logs"

run_one() {
	name=$(basename "$1")
	start=$(date +%s)
	case $name in
	prop_*) timeout 240 "$1" >"$logs/$name.log" 2>&1 ;;
	*) timeout 240 "$1" "$build" >"$logs/$name.log" 2>&1 ;;
	esac
	rc=$?
	took=$(($(date +%s) - start))
	if [ $rc -eq 0 ]; then
		echo "ok       $name (${took} s)"
		passed=$((passed + 1))
	elif grep -q "^$name\\b" KNOWN-RED.txt 2>/dev/null; then
		echo "KNOWN RED $name (exit $rc, ${took} s), listed in KNOWN-RED.txt"
		grep "^$name\\b" KNOWN-RED.txt
	else
		echo "FAILED   $name (exit $rc, ${took} s)"
		tail -n 60 "$logs/$name.log"
		failed=$((failed + 1))
	fi
}

for t in "$build"/unit_* "$build"/prop_* "$build"/run_*; do
	[ -f "$t" ] && [ -x "$t" ] || continue
	run_one "$t"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
