# Sourced by the launcher: runs a fleet of nodes without calls and measures what its control work costs.
fleet_usage() {
  cat <<'TEXT'
Usage: ./carawaysill fleet [FLAGS]

Starts nodes in services that call one another, over the stand-ins of the platform, and without any calls; publishes
changes, and measures per node processor time, memory and bytes, reads at the platform and the time into force.

  --nodes N                  how many nodes (default 16, at most 300)
  --service-nodes N          how many of them a service has at most (default 23)
  --seconds N                length of the measurement, after all nodes are ready (default 90)
  --settling-seconds N       wait between readiness and measurement (default 15)
  --interval-milliseconds N  from one publication to the next (default 500)
  --report FILE              write the figures as JSON
  --logs DIRECTORY           keep the processes' logs there
  --help                     print this help
TEXT
}

fleet() {
  local size=(--nodes 16) watch=() logs=""
  while [ $# -gt 0 ]; do
    case $1 in
      --help)
        fleet_usage
        return
        ;;
      --nodes | --service-nodes | --seconds | --settling-seconds | --interval-milliseconds | --report | --logs)
        [ $# -ge 2 ] || wrong "$1 needs a value; see ./carawaysill fleet --help"
        case $1 in
          --nodes) size[1]=$2 ;;
          --service-nodes) size+=("$1" "$2") ;;
          --logs) logs=$2 ;;
          *) watch+=("$1" "$2") ;;
        esac
        shift 2
        ;;
      *) wrong "\"$1\" is not a flag of fleet; see ./carawaysill fleet --help" ;;
    esac
  done
  . "$home/config/find-java.sh"
  build_if_needed
  leave_nothing_behind
  # Nodes are measured as they are shipped: with their options, and without an archive of classes.
  local archives=$work/none
  logs=${logs:-$work/logs}
  mkdir -p "$logs" "$work/fleet"
  run_program load fleet-layout "${size[@]}" --directory "$work/fleet" >/dev/null
  echo "carawaysill: starting ${size[1]} nodes"
  extra_flags() {
    case $1 in
      configuration | vm-list) ;;
      *) shipped_node_options ;;
    esac
  }
  start_pause=0.2 start_site "$logs" "$work/fleet"
  unset -f extra_flags
  run_program load fleet-watch "${size[@]}" "${watch[@]}"
}

shipped_node_options() {
  grep -v '^#' "$home/node/src/main/jvm/node.options"
}
