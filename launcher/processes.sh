# Sourced by the launcher: starts the processes of a site, and leaves none behind.
processes=()
logs_of=()
work=""
stop_seconds=5

# Ends every process on the way out, whether the launcher is done, fails or is interrupted. Each process is a job with a
# process group of its own, so that a Ctrl-C at the terminal reaches the launcher alone, which then ends them in order.
leave_nothing_behind() {
  set -m
  work=$(mktemp -d)
  trap 'clean_up $?' EXIT
  trap 'clean_up 130' INT
  trap 'clean_up 143' TERM HUP
}

# Guards against a clean-up that breaks off half-way, which shows as processes that stay behind and hold their ports:
# - The shell itself reports each job that ends by a signal, and where nobody reads that any more (a pager was left, a terminal
#   closed) it would be ended by SIGPIPE before it kills what is deaf to a polite end. With the signal ignored such a write
#   only fails; and no step that fails ends the clean-up.
# - A second signal may come before the first command has ignored it, as at the end of a session whose terminal is closed. It
#   begins the clean-up anew and takes it to its end.
# - A signal may come after a process was started and before it was noted down. The shell's own list of jobs has it.
clean_up() {
  trap '' INT TERM HUP PIPE
  trap - EXIT
  set +e
  [ "$1" -ne 1 ] || tell_who_ended
  mapfile -t processes < <(jobs -p)
  stop_processes
  rm -rf "$work"
  exit "$1"
}

start_process() {
  local log=$1
  shift
  "$@" >"$log" 2>&1 </dev/null &
  processes+=($!)
  logs_of[$!]=$log
}

# After a failure: the last lines of each process that ended by itself, which is often the cause.
tell_who_ended() {
  local process
  for process in "${processes[@]}"; do
    if ! kill -0 "$process" 2>/dev/null && [ -n "${logs_of[$process]:-}" ]; then
      echo "carawaysill: $(basename "${logs_of[$process]}" .log) ended by itself:" >&2
      tail -n 3 "${logs_of[$process]}" >&2
    fi
  done
}

# Starts the processes that a layout lists: name, program and arguments, with tabs between. For each process the command
# extra_flags, if there is one, prints more flags of the virtual machine. The seconds start_pause pass between two starts.
start_site() {
  local logs=$1 layout=$2 line fields words extra
  require_free_port
  while IFS= read -r line; do
    IFS=$'\t' read -r -a fields <<<"$line"
    extra=()
    if declare -F extra_flags >/dev/null; then
      mapfile -t extra < <(extra_flags "${fields[0]}")
    fi
    java_words "${fields[1]}" "${extra[@]}"
    start_process "$logs/${fields[0]}.log" "${words[@]}" "${fields[@]:2}"
    sleep "${start_pause:-0}"
  done <"$layout/processes"
}

require_free_port() {
  if (exec 3<>/dev/tcp/127.0.0.1/20001) 2>/dev/null; then
    echo "carawaysill: port 20001 is in use; is a site running already?" >&2
    exit 1
  fi
}

# Runs a program in the foreground, but so that the clean-up ends it too.
run_program() {
  local words status=0
  java_words "$1"
  "${words[@]}" "${@:2}" &
  processes+=($!)
  wait $! || status=$?
  unset 'processes[-1]'
  return $status
}

stop_processes() {
  local process
  for process in "${processes[@]}"; do
    kill -TERM "$process" 2>/dev/null || true
  done
  for ((tenth = 0; tenth < stop_seconds * 10; tenth++)); do
    any_alive || break
    sleep 0.1
  done
  for process in "${processes[@]}"; do
    kill -KILL "$process" 2>/dev/null || true
    wait "$process" 2>/dev/null || true
  done
  processes=()
  logs_of=()
}

any_alive() {
  local process
  for process in "${processes[@]}"; do
    ! kill -0 "$process" 2>/dev/null || return 0
  done
  return 1
}
