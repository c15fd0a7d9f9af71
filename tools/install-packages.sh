#!/usr/bin/env bash
# Installs what the build and the tests need from Debian.
set -euo pipefail
packages=(gcc make cmake pkg-config libc6-dev libck-dev libtirpc-dev
  rpcsvc-proto libmicrohttpd-dev libcurl4-openssl-dev libglib2.0-dev
  libjansson-dev libcunit1-dev clang-format clang-tidy cppcheck curl jq git)
if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  exit 0
fi
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -qq
$sudo apt-get install -y -qq "${packages[@]}" >/dev/null
