#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python of the standard library and
# need no build; this checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/*.py 6/case.py $(ls 7/case.py 8/case.py 9/case.py 10/case.py 2>/dev/null) <<'CHECK'
import ast
import sys

for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
CHECK
