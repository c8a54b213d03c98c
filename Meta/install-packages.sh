#!/usr/bin/env bash
# Installs the packages that building and testing almondwing needs on Debian 12.
set -euo pipefail

packages=(
    ccache cmake ninja-build pkg-config g++ clang-14 clang-format clang-tidy libclang-rt-14-dev
    libboost-dev libboost-system-dev libabsl-dev libfmt-dev libgoogle-glog-dev libcli11-dev libtomlplusplus-dev
    nlohmann-json3-dev libprotobuf-dev prometheus-cpp-dev libxxhash-dev
    libcppunit-dev librapidcheck-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
