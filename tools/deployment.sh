# Parameters of the two deployments, for measuring scripts that use
# tests/faults/cluster.sh. This file is sourced.

# deployment_set saltbush|ciotola
deployment_set() {
  case $1 in
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
    return 2
    ;;
  esac
  export SNIPE_HOSTS=7 SNIPE_ENDPOINTS=48
  : "${SNIPE_RULES:=allow team=load kind=* domain=*  # asked by the benchmark}"
  export SNIPE_RULES
}
