#!/usr/bin/env bash
# Prepares the stand-ins of cases 11 to 15. They need only python3 (3.11 or
# later) and its standard library, which scripts/setup installs.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11)'
for file in review/standins-3/*.py review/1[1-5]/*.py; do
  python3 - "$file" <<'PY'
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
PY
done
