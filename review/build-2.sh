#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. All are Python programs with nothing but its
# own library: there is nothing to compile, but a syntax error shows here.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/[6-9]/*.py review/10/*.py \
	tests/soak/store.py tests/soak/wire.py; do
	[ -e "$file" ] || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
[ -x target/fescuesaddle-gateway ] || {
	echo "target/fescuesaddle-gateway is missing: run the build of deploy/system.toml" >&2
	exit 1
}
