#!/usr/bin/env bash
# Runs the soak for 15 s with random seed 7 and with each random seed that has failed before. Further arguments are
# passed to the soak.
set -euo pipefail
cd "$(dirname "$0")/.."

Meta/build.sh build
regressions=$(grep -oE '^[0-9]+' platform/Soak/seeds.txt)
for seed in 7 $regressions; do
    timeout --signal=INT 300 python3 platform/Soak/soak.py --program build/platform/almondwing-node --seed "$seed" --seconds 15 "$@"
done
