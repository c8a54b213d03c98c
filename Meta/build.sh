#!/usr/bin/env bash
# Configures and builds into the given folder. Further arguments go to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."

folder=${1:-build}
shift || true
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja "$@" >/dev/null
cmake --build "$folder"
