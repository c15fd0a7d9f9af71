#!/usr/bin/env bash
# Tests cluster_stop: it must not signal the id of a process that has ended, as
# the system may have reused the id for another suite's daemon, and it must not
# return before all processes of the cluster have ended.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/cluster.sh"
cluster_build=/bin cluster_dir=$(mktemp -d)
trap 'rm -rf "$cluster_dir"' EXIT
signalled=$cluster_dir/signalled

cluster_spawn ended true
ended=$cluster_last_pid
cluster_spawn running sleep 60
running=$cluster_last_pid
cluster_wait_file "$cluster_dir/$ended.exit"

kill() {
  echo "$2" >>"$signalled"
  builtin kill "$@"
}
cluster_stop
unset -f kill
[ -s "$cluster_dir/$running.exit" ]

if grep -qx "$ended" "$signalled"; then
  echo "the ended process $ended was signalled" >&2
  exit 1
fi
grep -qx "$running" "$signalled"
grep -q '^ended, exit status 0,' "$cluster_dir/$ended.exit"
grep -q '^running, exit status 137,' "$cluster_dir/$running.exit"
