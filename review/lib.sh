# lib.sh -- what the cases' scripts share: three VMs of the cell on loopback,
# each in a zone of its own, and the stand-in (stand.c) for all around them
#
# Sourced from a case's folder.  Settings are those that the platform makes
# from deploy/cell.ini.in for sites/foulee-commune.toml, without advice.
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
STAND=review/build/stand
CELL=target/gl-cell
VMS=3
PREFIX=/q/
TMP=$(mktemp -d) || exit 2
PIDS=() PORTS=() STAND_PID=
[ -x $STAND ] && [ -x $CELL ] || { echo "not built"; exit 2; }

cleanup() {
  local p
  exec 2>/dev/null
  for p in "${PIDS[@]}" $STAND_PID; do
    kill -KILL "$p"
  done
  wait
  rm -rf "$TMP"
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# tell COMMAND: give the stand-in a command
tell() { echo "$*" >&9; }

# note TEXT: add a line to the record
note() { echo "script $*" >>"$RECORD"; }

# port VM K: its port for callers (0), readiness (1), other VMs (2), metrics (3)
port() { echo "${PORTS[$(($1 * 4 + $2))]}"; }

write_settings() {
  local a=127.0.0.1
  sed -e '/{{#advice}}/d' -e 's/{{\/advice}}//' \
    -e "s/{{nodeName}}/vm$1/" -e "s/{{zone}}/z$1/" \
    -e "s/{{limits.cpuShare}}/0.25/" -e "s/{{limits.linkMbps}}/1000/" \
    -e "s/{{listenAddrs.front}}/$a:$(port "$1" 0)/" \
    -e "s/{{listenAddrs.ready}}/$a:$(port "$1" 1)/" \
    -e "s/{{ip}}:{{internalPorts.0}}/$a:$(port "$1" 2)/" \
    -e "s/{{ip}}:{{internalPorts.1}}/$a:$(port "$1" 3)/" \
    -e "s/{{platform.address}}/$a:$STORE/" \
    -e "s/{{platform.writesPerS}}/400/" -e "s/{{platform.minTtlMs}}/1000/" \
    -e "s/{{bounds.graceS}}/6/" -e "s/{{bounds.holdMaxMs}}/10000/" \
    -e "s/{{bounds.stopTimeoutMs}}/200/" -e "s/{{bounds.status_s}}/120/" \
    deploy/cell.ini.in >"$TMP/vm$1.ini"
}

start_vm() {
  GENTIANLATCH_CONFIG="$TMP/vm$1.ini" $CELL >>"$TMP/vm$1.log" 2>&1 &
  PIDS[$1]=$!
  note "vm$1 started"
}

# stop_vm VM: a planned stop, which takes 6 s at most
stop_vm() {
  note "vm$1 is told to stop"
  kill -TERM "${PIDS[$1]}"
  wait "${PIDS[$1]}"
} 2>/dev/null

# is_ready VM: it answers its readiness probe with 200
is_ready() {
  local line
  exec 8<>"/dev/tcp/127.0.0.1/$(port "$1" 1)" || return 1
  printf 'GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&8
  read -r -t 2 line <&8
  exec 8>&-
  [[ $line == *" 200 "* ]]
} 2>/dev/null

# wait_ready: until every VM is ready; the case can't run if they never are
wait_ready() {
  local i n
  for ((n = 0; n < 200; n++)); do
    for ((i = 0; i < VMS; i++)); do
      is_ready $i || break
    done
    [ $i = $VMS ] && return
    sleep 0.1
  done
  echo "the VMs are not ready" && exit 2
}

# await PATTERN SECONDS: until the record has a line with it; 1 if it has none
await() {
  local n
  for ((n = 0; n < $2 * 10; n++)); do
    grep -qE "$1" "$RECORD" && return 0
    sleep 0.1
  done
  return 1
}

# route NAME PREFIX ATTEMPTS: a route of the configuration
route() {
  echo "{\"name\":\"$1\",\"host\":\"queue.example\",\"prefix\":\"$2\",\
\"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\
\"priority\":1,\"service\":\"runners\",\"maxAttempts\":$3,\"stretch\":2}"
}

# config VERSION ROUTE...: the operator writes a configuration
config() {
  local version=$1 IFS=,
  shift
  tell "put op/config {\"version\":$version,\"routes\":[$*],\
\"services\":[{\"name\":\"runners\",\"admissionCheck\":false}],\"limits\":{}}"
}

# set_up WORKERS CPU MB: start the stand-in with its workers, and write the
# settings of the VMs
set_up() {
  local i p
  : >"$RECORD"
  mkfifo "$TMP/commands"
  mapfile -t p < <($STAND ports $((VMS * 4 + 1 + $1)))
  [ ${#p[@]} = $((VMS * 4 + 1 + $1)) ] || exit 2
  PORTS=("${p[@]:0:VMS * 4}")
  STORE=${p[$((VMS * 4))]}
  $STAND "$RECORD" <"$TMP/commands" &
  STAND_PID=$!
  exec 9>"$TMP/commands"

  tell "store $STORE"
  tell "vms $(port 0 0) $(port 1 0) $(port 2 0)"
  for ((i = 0; i < $1; i++)); do
    tell "worker ${p[$((VMS * 4 + 1 + i))]} $2 $3"
  done
  for ((i = 0; i < VMS; i++)); do
    write_settings $i
  done
}

# start_vms: start all VMs, and wait until they serve
start_vms() {
  local i
  for ((i = 0; i < VMS; i++)); do
    start_vm $i
  done
  wait_ready
}
