#!/usr/bin/env bash
# Runs test_limits against a cluster of its own. Argument: build directory.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/cluster.sh"
dir=$(mktemp -d)
trap 'cluster_end $?' EXIT
export SNIPE_HOSTS=9 SNIPE_ENDPOINTS=24 SNIPE_SPEED_MIN=1 SNIPE_SPEED_MAX=1
export SNIPE_RULES='allow team=reorder kind=* domain=*  # asked by Dana Wills
allow team=free kind=* domain=*  # asked by Dana Wills
limit team=reorder slots=60  # asked by Lee Park'
# Tasks of the test take at most 200 ms. If a busy machine delayed them by more
# than --task-max-ms, a correct reclaim of a share would seem too early.
export SNIPE_DAEMON_FLAGS="--poll-ms 100 --hello-ms 200 --lease-ms 2000 --task-max-ms 2000 --drain-s 20"
cluster_start "$1" "$dir"
"$1/test_limits"
