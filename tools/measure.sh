#!/usr/bin/env bash
# Measures response over ideal and extra messages with processes on loopback,
# for one deployment's parameters. Usage: measure.sh saltbush|ciotola
# [snipe-load flags...]; SNIPE_DAEMON_FLAGS passes settings to the daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
. tests/faults/cluster.sh
deployment=$1
shift
case $deployment in
saltbush)
  export SNIPE_DOMAINS=perth-east,perth-north,bunbury SNIPE_REGION=wa-south
  export SNIPE_RACK=8 SNIPE_CORES=64 SNIPE_MEM_MB=131072
  ;;
ciotola)
  export SNIPE_DOMAINS=catania,palermo,siracusa,enna SNIPE_REGION=sicilia
  export SNIPE_RACK=6 SNIPE_CORES=32 SNIPE_MEM_MB=65536
  ;;
*)
  echo "deployment must be saltbush or ciotola" >&2
  exit 2
  ;;
esac
export SNIPE_HOSTS=7 SNIPE_ENDPOINTS=48
export SNIPE_RULES='allow team=load kind=* domain=*  # asked by the benchmark'
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
cluster_start "${SNIPE_BUILD:-build}" "$dir"
"${SNIPE_BUILD:-build}/snipe-load" --hosts "$SNIPE_TEST_HTTP" \
  --endpoints-control "http://$SNIPE_TEST_ENDPOINTS" --tasks-min 1 \
  --tasks-max 32 "$@"
