#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs without dependencies, so this only checks
# that an interpreter is there and that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
