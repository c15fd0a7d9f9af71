# Functions to start and stop a cluster of separate processes on loopback: the
# stand-ins of the platform and the endpoints, and entry daemons. To be sourced.
#
# Settings (environment): SNIPE_HOSTS, SNIPE_DOMAINS, SNIPE_ENDPOINTS,
# SNIPE_RACK, SNIPE_CORES, SNIPE_MEM_MB, SNIPE_SPEED_MIN, SNIPE_SPEED_MAX,
# SNIPE_REGION, SNIPE_RULES (text), SNIPE_DAEMON_FLAGS, SNIPE_FAKE_FLAGS,
# SNIPE_PLATFORM_FLAGS, SNIPE_SEED.

cluster_pids=()

# Waits until a file is not empty.
cluster_wait_file() {
  local i
  for ((i = 0; i < 600; i++)); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  echo "cluster: timeout: $1 was not written" >&2
  return 1
}

# Registers the entry hosts in the platform's list of hosts.
cluster_list_hosts() {
  local list="" i name domain size
  for ((i = 0; i < ${#cluster_names[@]}; i++)); do
    name=${cluster_names[i]} domain=${cluster_domains[i]}
    size=${cluster_sizes[i]}
    list+="${list:+,}{\"name\":\"$name\",\"role\":\"entry\",\"address\":\"127.0.0.1:0\",\"domain\":\"$domain\",\"region\":\"$SNIPE_REGION\",\"rack\":\"r0\",\"state\":\"live\",\"slots\":0,\"connections\":0,\"cores\":4,\"mem_mb\":8192,\"accel\":0,\"size\":$size}"
  done
  curl -sf -XPOST "http://$SNIPE_TEST_PLATFORM/control" \
    -d "{\"hosts\":[$list]}" >/dev/null
}

# Publishes rules by a write to the platform's table, as snipectl does.
cluster_publish() {
  jq -n --arg text "$1" '{if:[{key:"rules",version:0}],
    put:[{key:"rules",value:{text:$text,who:"cluster.sh",when:"",op:"0"}}]}' \
    | curl -sf -XPOST "http://$SNIPE_TEST_PLATFORM/table/txn" -d @- >/dev/null
}

# cluster_spawn NAME PROGRAM [FLAGS...]: starts a process that logs to NAME.log.
# A subshell waits for it and writes its exit status to PID.exit. The subshell's
# stderr is discarded, as it would report every process that a test kills.
cluster_spawn() {
  local name=$1
  shift
  rm -f "$cluster_dir/$name.pid"
  {
    "$cluster_build/$1" "${@:2}" >>"$cluster_dir/$name.log" 2>&1 &
    echo $! >"$cluster_dir/$name.pid"
    status=0
    wait $! || status=$?
    echo "$name, exit status $status, $(date +%T.%3N)" >"$cluster_dir/$!.exit"
  } 2>/dev/null &
  disown $!
  cluster_wait_file "$cluster_dir/$name.pid"
  cluster_last_pid=$(<"$cluster_dir/$name.pid")
  cluster_pids+=("$cluster_last_pid")
}

# cluster_daemon NAME DOMAIN SIZE [FLAGS...]: starts one entry daemon.
cluster_daemon() {
  local name=$1 domain=$2 size=$3
  shift 3
  cluster_spawn "$name" snipelbd --listen 127.0.0.1:0 --rpc 127.0.0.1:0 \
    --host "$name" --domain "$domain" --region "$SNIPE_REGION" \
    --size "$size" --platform "http://$SNIPE_TEST_PLATFORM" \
    --port-file "$cluster_dir/$name.port" --test-hooks --log-level info \
    ${SNIPE_DAEMON_FLAGS:-} "$@"
}

# cluster_start BUILD DIR
cluster_start() {
  cluster_build=$1 cluster_dir=$2
  : "${SNIPE_HOSTS:=7}" "${SNIPE_DOMAINS:=perth-east,perth-north,bunbury}"
  : "${SNIPE_ENDPOINTS:=48}" "${SNIPE_RACK:=8}" "${SNIPE_CORES:=64}"
  : "${SNIPE_MEM_MB:=131072}" "${SNIPE_SPEED_MIN:=0.5}"
  : "${SNIPE_SPEED_MAX:=2}" "${SNIPE_REGION:=wa-south}" "${SNIPE_SEED:=1}"
  local sizes=(1 2 1 1 0.5 1 1) domains i pids=()
  mkdir -p "$cluster_dir"
  cluster_names=() cluster_domains=() cluster_sizes=()
  IFS=, read -ra domains <<<"$SNIPE_DOMAINS"

  cluster_spawn platform fake-platform --listen 127.0.0.1:0 \
    --port-file "$cluster_dir/platform.port" ${SNIPE_PLATFORM_FLAGS:-}
  cluster_wait_file "$cluster_dir/platform.port"
  SNIPE_TEST_PLATFORM=$(tr -d '\n' <"$cluster_dir/platform.port")
  cluster_spawn endpoints fake-endpoints --count "$SNIPE_ENDPOINTS" --slots 8 \
    --connections 64 --domains "$SNIPE_DOMAINS" --region "$SNIPE_REGION" \
    --rack-size "$SNIPE_RACK" --cores "$SNIPE_CORES" \
    --mem-mb "$SNIPE_MEM_MB" --speed-min "$SNIPE_SPEED_MIN" \
    --speed-max "$SNIPE_SPEED_MAX" --seed "$SNIPE_SEED" \
    --platform "http://$SNIPE_TEST_PLATFORM" --control 127.0.0.1:0 \
    --port-file "$cluster_dir/endpoints.port" ${SNIPE_FAKE_FLAGS:-}
  cluster_wait_file "$cluster_dir/endpoints.port"
  SNIPE_TEST_ENDPOINTS=$(tr -d '\n' <"$cluster_dir/endpoints.port")

  for ((i = 0; i < SNIPE_HOSTS; i++)); do
    cluster_names+=("entry-$((i + 1))")
    cluster_domains+=("${domains[i % ${#domains[@]}]}")
    cluster_sizes+=("${sizes[i % ${#sizes[@]}]}")
  done
  cluster_list_hosts
  [ -z "${SNIPE_RULES:-}" ] || cluster_publish "$SNIPE_RULES"
  for ((i = 0; i < SNIPE_HOSTS; i++)); do
    cluster_daemon "${cluster_names[i]}" "${cluster_domains[i]}" \
      "${cluster_sizes[i]}"
    pids+=("$cluster_last_pid")
  done
  SNIPE_TEST_HOSTS="" SNIPE_TEST_HTTP=""
  for ((i = 0; i < SNIPE_HOSTS; i++)); do
    local http rpc name=${cluster_names[i]}
    cluster_wait_file "$cluster_dir/$name.port"
    read -r http rpc <"$cluster_dir/$name.port"
    # name,domain,HTTP address,RPC address,pid of each host, separated by ";"
    SNIPE_TEST_HOSTS+="${SNIPE_TEST_HOSTS:+;}$name,${cluster_domains[i]},$http,$rpc,${pids[i]}"
    SNIPE_TEST_HTTP+="${SNIPE_TEST_HTTP:+,}$http"
  done
  export SNIPE_TEST_PLATFORM SNIPE_TEST_ENDPOINTS SNIPE_TEST_HOSTS
  export SNIPE_TEST_HTTP
  [ -z "${SNIPE_RULES:-}" ] || cluster_wait_ready
}

# Waits until every daemon has rules, sees all peers live and lists endpoints.
cluster_wait_ready() {
  local http i want=$((SNIPE_HOSTS - 1))
  for http in ${SNIPE_TEST_HTTP//,/ }; do
    for ((i = 0; i < 600; i++)); do
      curl -sf "http://$http/v1/status" 2>/dev/null | jq -e \
        "([.peers[]|select(.live)]|length) >= $want and .rules.version > 0 and
         (.endpoints_listed > 0)" >/dev/null 2>&1 && continue 2
      sleep 0.05
    done
    echo "cluster: timeout: the daemon at $http is not ready" >&2
    return 1
  done
}

cluster_stop() {
  local pid
  for pid in "${cluster_pids[@]}"; do
    # The system may have reused the id of an ended process for a thread of
    # another suite's cluster, which kill would end.
    [ -e "$cluster_dir/$pid.exit" ] && continue
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  # No .exit file may be written while its directory is being removed.
  for pid in "${cluster_pids[@]}"; do
    cluster_wait_file "$cluster_dir/$pid.exit" || true
  done
  cluster_pids=()
}

# Log lines printed for each process when a test has failed.
CLUSTER_REPORT_LINES=10

# cluster_end STATUS: stops everything. If the test failed, prints which
# processes had ended by then and the last lines of each log, and keeps the logs
# in the build directory; otherwise removes them.
cluster_end() {
  local ended log kept
  ended=$(cat "$cluster_dir"/*.exit 2>/dev/null || true)
  cluster_stop
  if [ "$1" -ne 0 ]; then
    kept=$cluster_build/failed/$(basename "$0" .sh)-$$
    mkdir -p "$kept"
    cp "$cluster_dir"/*.log "$kept"
    printf 'cluster: status %s; logs are in %s\n' "$1" "$kept"
    printf 'cluster: processes that ended before the test did:\n%s\n' "$ended"
    for log in "$cluster_dir"/*.log; do
      printf 'cluster: last lines of the log of %s\n' "$(basename "$log" .log)"
      # Leaves out info lines: they log decisions on single tasks.
      grep -v ' info ' "$log" | tail -n "$CLUSTER_REPORT_LINES" || true
    done
  fi
  rm -rf "$cluster_dir"
}

# Prints the processor time that all daemons have used, in microseconds.
cluster_cpu_us() {
  local host sum=0 t hz
  hz=$(getconf CLK_TCK)
  for host in ${SNIPE_TEST_HOSTS//;/ }; do
    t=$(awk -v hz="$hz" '{ print int (($14 + $15) * 1000000 / hz) }' \
      "/proc/${host##*,}/stat")
    sum=$((sum + t))
  done
  echo "$sum"
}
