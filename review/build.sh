#!/bin/sh
# The stand-ins of the review are Python modules of review/lib: they need no
# build, only an interpreter that accepts them.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py [0-9]*/*.py; do
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
echo "stand-ins: ready"
