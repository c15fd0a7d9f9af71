#!/usr/bin/env bash
# Builds and runs every test. SNIPE_PRESET picks a CMake preset: default,
# asan or tsan. Failures listed in KNOWN-RED.txt are printed and passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install-packages.sh
preset=${SNIPE_PRESET:-default}
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset" -- --no-print-directory -s >/dev/null
red=""
if [ -f KNOWN-RED.txt ]; then
  red=$(sed -n 's/^test: *//p' KNOWN-RED.txt | sort -u | paste -sd'|' -)
fi
if [ -n "$red" ]; then
  echo "== known red (run, printed, not counted): $red"
  ctest --preset "$preset" -R "^($red)\$" || true
  ctest --preset "$preset" -j 4 -E "^($red)\$"
else
  ctest --preset "$preset" -j 4
fi
