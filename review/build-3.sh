#!/bin/sh
# Builds what the scripts of cases 11 to 15 start beside the gateway. All of it is Python,
# the project's own stand-in of the store too: it is only checked here.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-3/*.py review/1[1-5]/*.py tests/soak/store.py tests/soak/wire.py; do
	[ ! -f "$file" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x target/fescuesaddle-gateway
