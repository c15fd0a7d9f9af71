#!/usr/bin/env bash
# Guards against a cluster that, when it is stopped, signals the id of a
# process that has ended, which the system may have given to another suite's
# daemon; and against one that is taken for stopped before all its processes
# have ended.
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
