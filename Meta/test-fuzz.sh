#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each with a limited number of inputs from a fixed seed.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=build-fuzz
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja -DALMONDWING_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++-14 >/dev/null
cmake --build "$folder" --target fuzz
ctest --test-dir "$folder" --output-on-failure -j 4 -L fuzz
