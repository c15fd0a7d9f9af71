#!/usr/bin/env bash
# Builds the scripts' cases of this review, with their stand-ins, into
# target/review-3. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
read -ra flags < <(pkg-config --cflags glib-2.0 jansson libmicrohttpd)
read -ra libraries < <(pkg-config --libs glib-2.0 jansson libmicrohttpd)
for source in review/1[1-5]/case.c; do
  number=$(basename "$(dirname "$source")")
  gcc -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -Ireview -Itests -Iinclude \
    "${flags[@]}" "$source" review/rig/rig.c tests/soak/http_server.c \
    tests/soak/proxy.c -o "$out/case-$number" "${libraries[@]}" -lm -lpthread
done
