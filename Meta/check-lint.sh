#!/usr/bin/env bash
# Runs clang-tidy on the sources. Skips files whose preprocessed text has the same hash as in an earlier clean run,
# which makes repeated runs short, and files that the compile_commands.json of the build does not list.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${1:-build}
cache="${XDG_CACHE_HOME:-$HOME/.cache}/almondwing-lint"
mkdir -p "$cache"
export build cache
configuration=$(sha256sum .clang-tidy | cut -d' ' -f1)
export configuration

lintFile() {
    local file=$1 key command
    command=$(python3 - "$build/compile_commands.json" "$PWD/$file" <<'PY'
import json, shlex, sys
for entry in json.load(open(sys.argv[1])):
    if entry["file"] == sys.argv[2]:
        words = shlex.split(entry["command"])
        words = [w for w in words if not w.endswith("ccache")]
        out = words.index("-o")
        del words[out:out + 2]
        words.remove("-c")
        print(shlex.join(words + ["-E"]))
        break
PY
)
    [ -n "$command" ] || return 0
    key=$( (echo "$configuration"; eval "$command" 2>/dev/null) | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    clang-tidy --quiet -p "$build" "$file" 2>/dev/null && touch "$cache/$key" && return 0
    echo "lint failed: $file"
    return 1
}
export -f lintFile

git ls-files -co --exclude-standard '*.cpp' | grep -v '\.pb\.' | xargs -P "$(nproc)" -I{} bash -c 'lintFile {}'
echo "lint: clean"
