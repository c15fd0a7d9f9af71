#!/usr/bin/env bash
# Checks that the generated code is up to date, and runs format and lint checks
# on all other code.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== generated code"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
for module in peer link; do
  name=snipe_$module
  cp "src/$module/$name.x" "$out"
  (cd "$out" && rpcgen -h -o "$name.h" "$name.x" \
    && rpcgen -c -o "${name}_xdr.c" "$name.x")
  diff -u "src/$module/$name.h" "$out/$name.h"
  diff -u "src/$module/${name}_xdr.c" "$out/${name}_xdr.c"
done

mapfile -t files < <(git ls-files -co --exclude-standard '*.c' '*.h' \
  | grep -v -e 'src/peer/snipe_peer' -e 'src/link/snipe_link')
echo "== format (${#files[@]} files)"
clang-format --dry-run -Werror "${files[@]}"

echo "== lint"
cmake --preset default >/dev/null
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.c$')
printf '%s\n' "${units[@]}" \
  | xargs -P 8 -n 4 clang-tidy --quiet -p build 2>/dev/null
cppcheck --quiet --enable=warning,performance,portability --inline-suppr \
  --error-exitcode=1 --suppress=missingIncludeSystem -j 8 -D_GNU_SOURCE \
  --suppress=normalCheckLevelMaxBranches -Iinclude -Isrc -Itests -Itools -Iplatform "${units[@]}"
