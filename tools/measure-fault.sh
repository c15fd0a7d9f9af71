#!/usr/bin/env bash
# Measures like measure.sh, with a fault from 5 s to 15 s after the load starts.
# Usage: measure-fault.sh saltbush|ciotola FAULT [snipe-load flags...]
# Faults:
#   none      no fault, as a baseline
#   fail      3 endpoints immediately respond to every task with status 500
#   slow      3 endpoints take 8 times as long per task
#   kill      the largest entry host is killed and not replaced
#   cut       the first domain is partitioned from the others and the platform
#   platform  the platform does not respond
# SNIPE_RULES replaces the rules; SNIPE_DAEMON_FLAGS passes settings to the
# daemons.
set -euo pipefail
cd "$(dirname "$0")/.."
. tests/faults/cluster.sh
. tools/deployment.sh
deployment=$1
fault=$2
shift 2

# endpoints_mode MODE [FACTOR]: sets the mode of the first, the middle and the
# last endpoint.
endpoints_mode() {
  local name names
  names=$(curl -sf "http://$SNIPE_TEST_ENDPOINTS/control/counts" \
    | jq -r '.endpoints | .[0], .[length / 2 | floor], .[-1] | .name')
  for name in $names; do
    jq -n --arg name "$name" --arg mode "$1" --argjson factor "${2:-1}" \
      '{endpoint:$name,mode:$mode,factor:$factor}' \
      | curl -sf -XPOST "http://$SNIPE_TEST_ENDPOINTS/control" -d @- \
        >/dev/null
  done
}

# cut_domain [DOMAIN]: partitions a domain from the rest. Hosts inside refuse
# traffic with the platform and with hosts and endpoints outside; hosts outside
# refuse traffic with hosts and endpoints inside. Without an argument, ends the
# partition.
cut_domain() {
  local cut=${1:-} self other list inside
  local -a hosts a b
  IFS=';' read -ra hosts <<<"$SNIPE_TEST_HOSTS"
  for self in "${hosts[@]}"; do
    IFS=, read -ra a <<<"$self"
    list=()
    if [ -n "$cut" ]; then
      inside=false
      [ "${a[1]}" != "$cut" ] || inside=true
      for other in "${hosts[@]}"; do
        IFS=, read -ra b <<<"$other"
        if { $inside && [ "${b[1]}" != "$cut" ]; } \
          || { ! $inside && [ "${b[1]}" = "$cut" ]; }; then
          list+=("${b[0]}" "${b[3]}")
        fi
      done
      mapfile -t -O "${#list[@]}" list < <(jq -r --arg cut "$cut" \
        --argjson inside $inside '.hosts[] | select(.role == "endpoint")
          | select((.domain == $cut) != $inside) | .address' \
        <<<"$cut_listed")
      ! $inside || list+=(platform)
    fi
    jq -n '$ARGS.positional' --args "${list[@]}" \
      | curl -sf -XPUT "http://${a[2]}/v1/test/refuse" -d @- >/dev/null
  done
}

platform_down() {
  curl -sf -XPOST "http://$SNIPE_TEST_PLATFORM/control" \
    -d "{\"down\":$1}" >/dev/null
}

begin_fault() {
  local -a hosts host
  IFS=';' read -ra hosts <<<"$SNIPE_TEST_HOSTS"
  case $fault in
  none) ;;
  fail) endpoints_mode fail ;;
  slow) endpoints_mode slow 8 ;;
  kill)
    IFS=, read -ra host <<<"${hosts[1]}"
    kill -KILL "${host[4]}"
    ;;
  cut)
    cut_listed=$(curl -sf "http://$SNIPE_TEST_PLATFORM/hosts")
    cut_domain "${SNIPE_DOMAINS%%,*}"
    ;;
  platform) platform_down true ;;
  esac
}

end_fault() {
  case $fault in
  fail | slow) endpoints_mode ok ;;
  cut) cut_domain ;;
  platform) platform_down false ;;
  esac
}

case $fault in
none | fail | slow | kill | cut | platform) ;;
*)
  echo "unknown fault: $fault" >&2
  exit 2
  ;;
esac
deployment_set "$deployment"
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
cluster_start "${SNIPE_BUILD:-build}" "$dir"
(sleep 5 && begin_fault && sleep 10 && end_fault) >&2 &
"${SNIPE_BUILD:-build}/snipe-load" --hosts "$SNIPE_TEST_HTTP" \
  --endpoints-control "http://$SNIPE_TEST_ENDPOINTS" --tasks-min 1 \
  --tasks-max 32 "$@"
