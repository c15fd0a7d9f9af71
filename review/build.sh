#!/usr/bin/env bash
# Builds the stand-ins and the driver of each case into review/.build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/.build
flags=$(pkg-config --cflags --libs glib-2.0 jansson libmicrohttpd)
shared=(review/common/kit.c tests/soak/fake_store.c tests/soak/fake_endpoint.c tests/soak/http_server.c)
for driver in restart_all lost_cancel late_copy silent_links unheard_cancel; do
  # shellcheck disable=SC2086
  gcc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -Itests -Ireview/common -o "review/.build/$driver" \
    "review/common/$driver.c" "${shared[@]}" $flags -pthread
done
