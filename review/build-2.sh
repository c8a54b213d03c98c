#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of this folder, so they are only compiled to find
# errors early; the programs of the project come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in common-2/*.py [6-9]/*.py 10/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], sys.argv[2], doraise=True)' "$file" "$folder/compiled"
    fi
done
echo "the stand-ins are ready"
