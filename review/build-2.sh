#!/bin/sh
# After the build of the deploy file: the stand-ins of the cases 6 to 10 are Python and need no build of their own.
# This checks that they compile with the interpreter of that build.
set -eu
cd "$(dirname "$0")/.."
for file in review/rig2/rig2.py review/[6-9]/case.py review/10/case.py; do
    [ ! -e "$file" ] || .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
