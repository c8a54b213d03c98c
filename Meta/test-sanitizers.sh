#!/usr/bin/env bash
# Builds and runs the library tests with ThreadSanitizer, then with AddressSanitizer and UBSan.
set -euo pipefail
cd "$(dirname "$0")/.."

runUnder() {
    local folder=$1 sanitizers=$2
    Meta/build.sh "$folder" -DALMONDWING_SANITIZE="$sanitizers" -DCMAKE_BUILD_TYPE=Debug
    ctest --test-dir "$folder" --output-on-failure -j 4 -L library
}
export TSAN_OPTIONS=halt_on_error=1 UBSAN_OPTIONS=print_stacktrace=1
runUnder build-tsan thread
runUnder build-asan address,undefined
