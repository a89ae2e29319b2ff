# Sourced by the launcher: measures the latency that two nodes in the path add, and makes the archives of classes.
pair_direct=127.0.0.1:21014/items/1
pair_through=127.0.0.1:21001/services/back/items/1

latency_usage() {
  cat <<'TEXT'
Usage: ./carawaysill latency [FLAGS]

Starts two services of one copy each and sends requests to the second one's copy, in turns directly and through both
nodes.

  --rates "N N ..."   requests a second, one measurement each (default "50 500 5000")
  --policy NAME       carawaysill (the default) or baseline
  --seconds N         length of each measurement after its warm-up (default 20)
  --help              print this help
TEXT
}

latency() {
  local rates="50 500 5000" policy=carawaysill seconds=20 rate
  while [ $# -gt 0 ]; do
    case $1 in
      --help)
        latency_usage
        return
        ;;
      --rates | --policy | --seconds)
        [ $# -ge 2 ] || wrong "$1 needs a value; see ./carawaysill latency --help"
        case $1 in
          --rates) rates=$2 ;;
          --policy) policy=$2 ;;
          --seconds) seconds=$2 ;;
        esac
        shift 2
        ;;
      *) wrong "\"$1\" is not a flag of latency; see ./carawaysill latency --help" ;;
    esac
  done
  . "$home/config/find-java.sh"
  build_if_needed
  leave_nothing_behind
  make_archives
  start_pair "$policy"
  for rate in $rates; do
    run_program load latency --direct $pair_direct --through $pair_through --rate "$rate" --seconds "$seconds"
  done
}

start_pair() {
  mkdir -p "$work/pair"
  run_program load layout --site pair --sites "$home/sites" --policy "$1" --directory "$work/pair" >/dev/null
  start_site "$work/pair" "$work/pair"
  run_program load await --site pair --sites "$home/sites"
}

# Makes an archive of loaded and linked classes and of profiles for the programs of which many processes run, by a short
# practice run. It spares each process most of its start. Without archives the programs run too, only slower.
make_archives() {
  [ ! -e "$archives" ] || return 0
  echo "carawaysill: making archives of classes" >&2
  mkdir -p "$archives" "$work/archives"
  extra_flags() {
    case $1 in
      front-1) echo "-XX:AOTCacheOutput=$work/archives/node.aot" ;;
      front-1-copy) echo "-XX:AOTCacheOutput=$work/archives/standin.aot" ;;
    esac
  }
  start_pair baseline
  run_program load latency --direct 127.0.0.1:21000/pages/1 --through $pair_through \
    --rate 200 --warm-up-seconds 0 --seconds 4 >/dev/null
  unset -f extra_flags
  stop_seconds=60 stop_processes
  mv "$work/archives"/*.aot "$archives"
}
