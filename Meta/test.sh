#!/usr/bin/env bash
# Builds and runs all tests except the known failures in KNOWN-RED.txt, which are printed.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/install-packages.sh
Meta/build.sh build
excluded=()
if [ -s KNOWN-RED.txt ]; then
    echo "Known red, passed over:"
    cat KNOWN-RED.txt
    # An entry begins in the first column with the CTest name. CTest skips the Deployment entries. Tests of a library
    # are skipped by its test program, which identifies them by the second word.
    names=$(grep -oE '^Deployment[A-Za-z0-9_.:-]+' KNOWN-RED.txt | paste -sd'|' || true)
    [ -z "$names" ] || excluded=(-E "^(${names})\$")
fi
ctest --test-dir build --output-on-failure -j 4 "${excluded[@]}"
