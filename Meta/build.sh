#!/usr/bin/env bash
# Configures and builds in the given folder, `build` by default. Further arguments are passed to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=${1:-build}
shift || true
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder"
