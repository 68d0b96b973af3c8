#!/usr/bin/env bash
# The stand-ins of review/9 to review/13 are Python programs with nothing to build. This only checks
# that they can be read; nothing is written.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.py 9/*.py 1[0-3]/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
