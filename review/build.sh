#!/usr/bin/env bash
# The stand-ins are Python and need its standard library alone; this checks that
# they compile. The daemon comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in standins/yard.py [1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
