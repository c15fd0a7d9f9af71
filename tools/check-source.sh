#!/usr/bin/env bash
# Checks that generated code is current, and format and lint of our own code.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== generated code"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
cp src/peer/snipe_peer.x "$out"
(cd "$out" && rpcgen -h -o snipe_peer.h snipe_peer.x \
  && rpcgen -c -o snipe_peer_xdr.c snipe_peer.x)
diff -u src/peer/snipe_peer.h "$out/snipe_peer.h"
diff -u src/peer/snipe_peer_xdr.c "$out/snipe_peer_xdr.c"

mapfile -t files < <(git ls-files -co --exclude-standard '*.c' '*.h' \
  | grep -v 'src/peer/snipe_peer')
echo "== format (${#files[@]} files)"
clang-format --dry-run -Werror "${files[@]}"

echo "== lint"
cmake --preset default >/dev/null
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.c$')
printf '%s\n' "${units[@]}" \
  | xargs -P 8 -n 4 clang-tidy --quiet -p build 2>/dev/null
cppcheck --quiet --enable=warning,performance,portability --inline-suppr \
  --error-exitcode=1 --suppress=missingIncludeSystem -j 8 -D_GNU_SOURCE \
  --suppress=normalCheckLevelMaxBranches -Iinclude -Isrc -Itests -Itools "${units[@]}"
