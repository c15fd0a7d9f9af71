#!/usr/bin/env bash
# Runs test_rules_in_force against a cluster of its own, with the default
# intervals, by which the promised 4 s are meant. Argument: build directory.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/cluster.sh"
dir=$(mktemp -d)
trap 'cluster_end $?' EXIT
export SNIPE_HOSTS=6 SNIPE_ENDPOINTS=12 SNIPE_SPEED_MIN=1 SNIPE_SPEED_MAX=1
export SNIPE_RULES='allow team=reorder kind=* domain=*  # asked by Dana Wills'
cluster_start "$1" "$dir"
export SNIPE_TEST_LOGS=$dir
"$1/test_rules_in_force"

# New hosts: one in place of a killed one, one without platform but with a
# peer, and one that can reach nobody.
IFS=, read -r _ _ _ _ old <<<"${SNIPE_TEST_HOSTS##*;}"
IFS=, read -r _ _ _ peer _ <<<"${SNIPE_TEST_HOSTS%%;*}"
kill -KILL "$old"
rm "$dir/entry-6.port" "$dir/entry-6.log"
cluster_daemon entry-6 bunbury 1
pids=("$cluster_last_pid")
SNIPE_TEST_PLATFORM=127.0.0.1:1 cluster_daemon entry-7 bunbury 1 \
  --peers "$peer"
pids+=("$cluster_last_pid")
SNIPE_TEST_PLATFORM=127.0.0.1:1 cluster_daemon entry-8 bunbury 1
pids+=("$cluster_last_pid")
hosts=""
for i in 6 7 8; do
  cluster_wait_file "$dir/entry-$i.port"
  read -r http rpc <"$dir/entry-$i.port"
  hosts+="${hosts:+;}entry-$i,bunbury,$http,$rpc,${pids[i - 6]}"
done
SNIPE_TEST_HOSTS=$hosts "$1/test_rules_in_force" new
