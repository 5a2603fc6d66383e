# Shared by the scripts that run real processes on this machine. Sourced, not run.
bin=${bin:-target/debug}
work=$(mktemp -d)
pids=()
finish() {
  set +x
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT

# Starts a program in the background, its output going to a file.
start() {
  local out=$1
  shift
  "$@" >"$out" 2>&1 &
  pids+=($!)
  disown
}

# Waits for a line with a text in a file and prints the address that follows the text.
line() {
  for _ in $(seq 500); do
    if grep -q "$2" "$1" 2>/dev/null; then
      grep "$2" "$1" | head -n 1 | sed "s/^.*$2\([0-9.:]*[0-9]\).*/\1/"
      return
    fi
    sleep 0.02
  done
  echo "waited in vain for '$2' in $1" >&2
  exit 1
}

# Starts the platform.
start_platform() {
  start "$work/platform" "$bin/standin" platform
  platform=$(line "$work/platform" "^")
}

# Starts a daemon with a number, in a hall, with further settings.
start_vm() {
  cat >"$work/vm-$1.toml" <<TOML
vm = "vm-$1"
hall = "$2"
[callers]
listen = "127.0.0.1:0"
threads = ${threads:-2}
[peers]
listen = "127.0.0.1:0"
key = "a-secret-of-the-demo-fleet"
[operators]
listen = "127.0.0.1:0"
key = "a-secret-of-the-operators"
[platform]
url = "http://$platform"
[times]
answer_holds_ms = 1000
${3:-}
TOML
  start "$work/vm-$1" "$bin/leverstreamd" run "$work/vm-$1.toml"
  daemon_pid=${pids[-1]}
}

# Puts the daemons 1 to $1 in the platform's list and waits until the first knows all.
list_vms() {
  local vms="" vm
  for vm in $(seq "$1"); do
    vms="$vms{\"peer_address\":\"$(line "$work/vm-$vm" "listens for peers on ")\",\"state\":\"live\"},"
  done
  curl -sS -X PUT -H 'content-type: application/json' -d "[${vms%,}]" "http://$platform/standin/vms"
  export LEVERSTREAM_KEY=a-secret-of-the-operators
  LEVERSTREAM_AT=$(line "$work/vm-1" "listens for operators on ")
  export LEVERSTREAM_AT
  for _ in $(seq 400); do
    [ "$("$bin/leverctl" --json status | grep -c '"alive"')" = "$1" ] && return
    sleep 0.05
  done
  echo "the daemons do not find each other" >&2
  exit 1
}
