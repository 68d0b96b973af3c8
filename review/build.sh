#!/usr/bin/env bash
# The stand-ins of the cases are Python scripts that need nothing but the standard library, so there
# is nothing to compile; this checks that they parse. The programs under test come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in common/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../target/release/mulberry-platform || {
    echo "build the deploy file first: cargo build --release --locked -p mulberry-platform" >&2
    exit 1
}
