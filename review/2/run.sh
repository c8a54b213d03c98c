#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
rm -f record.txt
PYTHONDONTWRITEBYTECODE=1 python3 case.py
code=$?
grep -q "end  *exit code $code" record.txt || exit 2
exit "$code"
