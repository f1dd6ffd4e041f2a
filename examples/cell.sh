# cell.sh -- functions that run a whole cell on loopback; source it from bash
#
# The cell has three failure domains with two entry VMs each, and the stand-ins.
# The functions end only processes that they started, by process id.
#
# Variables that may be set:
#   BUILD                 directory of the programs
#   RUN                   directory of settings and logs; start_cell empties it
#   PORT                  base of the port numbers; up to PORT + 165 are used
#   WORKERS_EACH    workers without accelerators; two more have four each
#   INSTANCES_EACH  upstream instances of the service "gait"
#   WORK_MS               time that an upstream takes for a request
#   ADMIN_SETTINGS, ENTRY_SETTINGS, SCHED_SETTINGS
#                         further lines of these sections of the settings
#   VIA                   number of the VM whose admin daemon CTL calls

BUILD=${BUILD:-build}
RUN=${RUN:-run}
DOMAINS=(rennes brest vannes)
PORT=${PORT:-17000}
# Process id by process name.
declare -A PIDS

# vm_port VM OFFSET: a port of VM 1 to 6; OFFSET 0 and 1 are the HTTP and RPC of
# the admin daemon, 2 the HTTP of the entry, 4 and 5 the RPC and HTTP of the
# scheduler
vm_port() { echo $((PORT + 100 + $1 * 10 + $2)); }
admin_of() { echo "127.0.0.1:$(vm_port "$1" 0)"; }
entry_of() { echo "127.0.0.1:$(vm_port "$1" 2)"; }
domain_of() { echo "${DOMAINS[$((($1 - 1) / 2))]}"; }
# platform_port VM: port on which the platform serves the VM's domain, so that a
# fault can be limited to it
platform_port() { echo $((PORT + 1 + ($1 - 1) / 2)); }
WORKERS=127.0.0.1:$((PORT + 20))
UPSTREAMS=127.0.0.1:$((PORT + 21))
PLATFORM=127.0.0.1:$PORT
CTL() { "$BUILD/glctl" --admin "$(admin_of "${VIA:-1}")" "$@"; }

# start NAME COMMAND...: run in the background and record the process id
start() {
  local name=$1
  shift
  "$@" >>"$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
}

# stop NAME [SIGNAL]: end one process and wait for it
stop() {
  local pid=${PIDS[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  unset "PIDS[$1]"
}

# write_settings VM: write the settings file of the VM's daemons
write_settings() {
  local vm=$1 file="$RUN/vm$1.ini" p
  {
    echo "[node]"
    echo "name = vm$vm"
    echo "domain = $(domain_of "$vm")"
    echo "site = brittany"
    echo "[platform]"
    echo "url = http://127.0.0.1:$(platform_port "$vm")"
    echo "[admin]"
    echo "http = $(admin_of "$vm")"
    echo "rpc = 127.0.0.1:$(vm_port "$vm" 1)"
    echo "${ADMIN_SETTINGS:-}"
    echo "[entry]"
    echo "http = $(entry_of "$vm")"
    echo "entries = 2"
    echo "number = $(((vm - 1) % 2))"
    echo "${ENTRY_SETTINGS:-}"
    echo "[scheduler]"
    echo "rpc = 127.0.0.1:$(vm_port "$vm" 4)"
    echo "http = 127.0.0.1:$(vm_port "$vm" 5)"
    echo "${SCHED_SETTINGS:-}"
    echo "[peers]"
    for p in 1 2 3 4 5 6; do
      [ "$p" = "$vm" ] || echo "vm$p = 127.0.0.1:$(vm_port "$p" 1)"
    done
  } >"$file"
}

# start_vm VM: the three daemons of one entry VM
start_vm() {
  write_settings "$1"
  start "admin$1" "$BUILD/gl-admin" --settings "$RUN/vm$1.ini"
  start "scheduler$1" "$BUILD/gl-scheduler" --settings "$RUN/vm$1.ini"
  start "entry$1" "$BUILD/gl-entry" --settings "$RUN/vm$1.ini"
}

# start_standins: the platform, the workers and the upstreams, with one listen
# address of the platform per domain
start_standins() {
  local d=0 args=() groups=() ups=()
  for d in 0 1 2; do
    args+=(--listen "${DOMAINS[$d]}=127.0.0.1:$((PORT + 1 + d))")
    groups+=(--group "${DOMAINS[$d]},${WORKERS_EACH:-16},8,16000,65536,0")
    groups+=(--group "${DOMAINS[$d]},2,8,16000,65536,4")
    ups+=(--group "gait,${DOMAINS[$d]},${INSTANCES_EACH:-6},8")
  done
  start platform "$BUILD/standin-platform" --listen "all=$PLATFORM" "${args[@]}"
  start workers "$BUILD/standin-workers" --listen "$WORKERS" \
    --platform "http://$PLATFORM" "${groups[@]}"
  start upstreams "$BUILD/standin-upstreams" --listen "$UPSTREAMS" \
    --platform "http://$PLATFORM" --work-ms "${WORK_MS:-20}" "${ups[@]}"
}

# until_true SECONDS COMMAND...: run the command until it succeeds; returns 1 if
# it does not within SECONDS
until_true() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}

# submit ARGUMENT...: submit a job and print its number.  While a domain changes
# its owner, submits again with the same number, so that the job is accepted only
# once.
submit() {
  local id=$((RANDOM * 32768 + RANDOM + 1)) out i
  for i in $(seq 1 20); do
    if out=$(CTL submit --id "$id" "$@"); then
      echo "${out%% *}"
      return 0
    fi
    sleep 0.3
  done
  return 1
}
# owners: number of domains that have an owner
owners() { CTL domains | grep -c ' starts '; }
three_owners() { [ "$(owners)" = 3 ]; }
# revision_everywhere N [DAEMONS]: revision N is in force on all daemons, 18 by
# default
revision_everywhere() {
  [ "$(CTL nodes | grep -c "revision $1 ")" = "${2:-18}" ]
}

start_cell() {
  local vm
  rm -rf "$RUN"
  mkdir -p "$RUN"
  start_standins
  for vm in 1 2 3 4 5 6; do
    start_vm "$vm"
  done
}

# stop_cell: end the daemons, wait for them, then end the stand-ins
stop_cell() {
  local n
  for n in "${!PIDS[@]}"; do
    case $n in admin* | scheduler* | entry*) kill "${PIDS[$n]}" 2>/dev/null ;; esac
  done
  for n in "${!PIDS[@]}"; do
    case $n in admin* | scheduler* | entry*) wait "${PIDS[$n]}" 2>/dev/null ;; esac
  done
  for n in "${!PIDS[@]}"; do
    kill "${PIDS[$n]}" 2>/dev/null
    wait "${PIDS[$n]}" 2>/dev/null
  done
  PIDS=()
}

# kill_cell: kill all processes at once
kill_cell() {
  local n
  for n in "${!PIDS[@]}"; do
    kill -KILL "${PIDS[$n]}" 2>/dev/null
  done
}

now_ms() { echo $(($(date +%s%N) / 1000000)); }
# truth ADDRESS KEY: a count from the /truth report of a stand-in
truth() { curl -s "http://$1/truth" | sed -E "s/.*\"$2\":([0-9.]+).*/\1/"; }
