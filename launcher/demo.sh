# Sourced by the launcher: plays one scenario under both policies.
demo_usage() {
  cat <<'TEXT'
Usage: ./carawaysill demo [FLAGS]

Starts a site on loopback, plays one scenario under the baseline policy, then the same load under carawaysill's, and
prints both side by side.

  --scenario NAME   surge, slow, both (the default), kill, zones, configuration-down or twice
  --site NAME       trinacria (the default) or tengri
  --seconds N       length of the load under each policy (default 24, at least 10)
  --seed N          seed of all draws (default 1)
  --report FILE     write both reports as one JSON document
  --plot FILE       draw goodput over time under both policies, as SVG
  --logs DIRECTORY  keep the processes' logs there
  --help            print this help
TEXT
}

demo() {
  local site=trinacria scenario=both seconds=24 seed=1 logs="" table=() policy
  while [ $# -gt 0 ]; do
    case $1 in
      --help)
        demo_usage
        return
        ;;
      --site | --scenario | --seconds | --seed | --report | --plot | --logs)
        [ $# -ge 2 ] || wrong "$1 needs a value; see ./carawaysill demo --help"
        case $1 in
          --site) site=$2 ;;
          --scenario) scenario=$2 ;;
          --seconds) seconds=$2 ;;
          --seed) seed=$2 ;;
          --logs) logs=$2 ;;
          *) table+=("$1" "$2") ;;
        esac
        shift 2
        ;;
      *) wrong "\"$1\" is not a flag of demo; see ./carawaysill demo --help" ;;
    esac
  done
  . "$home/config/find-java.sh"
  build_if_needed
  leave_nothing_behind
  make_archives
  # Some thirty processes that live for half a minute never earn back what the second compiler takes, and while it works
  # they answer late: the figures would be the compiler's.
  compilers=(-XX:TieredStopAtLevel=1)
  for policy in baseline carawaysill; do
    play_policy "$policy" "${logs:-$work/logs}/$policy"
  done
  run_program load table --baseline "$work/baseline.json" --carawaysill "$work/carawaysill.json" "${table[@]}"
}

play_policy() {
  local policy=$1 logs=$2
  mkdir -p "$work/$policy" "$logs"
  run_program load layout --site "$site" --sites "$home/sites" --policy "$policy" --directory "$work/$policy" >/dev/null
  echo "carawaysill: starting the site $site under the policy $policy"
  start_site "$logs" "$work/$policy"
  run_program load run --site "$site" --sites "$home/sites" --policy "$policy" --scenario "$scenario" \
    --seed "$seed" --seconds "$seconds" --report "$work/$policy.json"
  stop_processes
}
