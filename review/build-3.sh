#!/bin/sh
# Checks that the stand-ins of the third review compile; they need nothing else.
cd "$(dirname "$0")" || exit 2
for file in stand_ins_3.py 1[1-5]/run.py; do
    [ -f "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
