#!/bin/sh
# Builds the stand-ins of the scripts. They are Python programs that use the
# standard library only (Python 3.11 or later, for tomllib), so this checks that
# they can run; the build of the deploy file makes what the daemons need.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))' || exit 1
for file in review/standins/*.py review/[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
[ -d target/deps/cuminhatch ] || echo "review/build.sh: the build of the deploy file is missing" >&2
