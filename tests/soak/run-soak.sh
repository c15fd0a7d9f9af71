#!/usr/bin/env bash
# Short run of the soak: the seeds that once failed, each with its cause.
# BUILD is the build folder. By hand: build/soak --seed N --logs DIR.
set -euo pipefail
build=$1
failed=0
# 4: endpoint restarted under its id (TWICE)
# 10: request read after its client had gone (TWICE)
# 46: a hold told of a restart after a start (TWICE, LIMIT)
# 20: batch stood in a silent connection (TWICE); refusal of a copy (REFUSED)
for seed in 4 10 20 46; do
  "$build/soak" --seed "$seed" --seconds 6 --program "$build/snipelb-platform" \
    || failed=1
done
exit $failed
