#!/usr/bin/env bash
# Installs every Debian package that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy git curl
    libpoco-dev libnng-dev libboost-dev libcli11-dev libeasyloggingpp-dev doctest-dev
    libprotobuf-dev libprotoc-dev rapidjson-dev libtomlplusplus-dev liburcu-dev libbenchmark-dev zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    sudo=""
    [ "$(id -u)" -eq 0 ] || sudo=sudo
    $sudo apt-get update -qq
    $sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
