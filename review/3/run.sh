#!/usr/bin/env bash
# With TROUBLE=0 the disruption is left out (case.py reads it).
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
