#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They need only python3 (3.11 or
# later) and its standard library, which scripts/setup installs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in review/standins-2/*.py review/{6,7,8,9,10}/*.py; do
  [ -e "$file" ] || continue
  python3 - "$file" <<'PY'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
PY
done
test -x target/bin/vanillayardd
