#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 6 to 10 start, into
# target/review-2. The hosts are those of the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
read -ra flags <<<"$(pkg-config --cflags --libs glib-2.0 libmicrohttpd \
  libcurl jansson)"
for source in review/{6,7,8,9,10}/case.c; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -O1 -g -Wall -Wextra -Wno-missing-field-initializers \
    -D_GNU_SOURCE -Iinclude -Isrc -Itests -Ireview/stand \
    -o "$out/case-$number" "$source" review/stand/stand.c \
    tests/soak/fake_store.c tests/soak/fake_endpoint.c \
    tests/soak/http_server.c tests/soak/proxy.c "${flags[@]}" -lpthread
done
