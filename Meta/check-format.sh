#!/usr/bin/env bash
# Fails if clang-format would change a source file. With --fix, formats the files instead.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '\.pb\.' | xargs -P "$(nproc)" -n 8 clang-format "${mode[@]}"
