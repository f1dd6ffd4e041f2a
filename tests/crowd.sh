#!/bin/bash
# crowd.sh -- clients that hold requests open, against a process of gl-cell
#
#   tests/crowd.sh [CASE...]
#
# Plays each case of tests/crowd.cc on a process of its own, which is told that
# its machine has MEMORY_MB, beside the stand-in of review/.  No case checks a
# time or a share of served requests.  Exits with 0 if no case fails but those
# that KNOWN-RED.txt lists.
cd "$(dirname "$0")/.." || exit 2
BUILD=${BUILD:-build}
CELL=${CELL:-$BUILD/gl-cell}
MEMORY_MB=48
CASES=(requests:announced requests:chunks requests:tiny-chunks requests:over
  requests:over-chunks requests:headers requests:legal-headers requests:part
  requests:silent requests:unread requests:whole ready:silent metrics:unread rpc:record
  rpc:silent)
STAND=$BUILD/stand
TMP=$(mktemp -d) || exit 2
PIDS=()

end_processes() {
  local p
  for p in "${PIDS[@]}"; do
    kill -KILL "$p"
  done
  wait
  PIDS=()
} 2>/dev/null
trap 'end_processes; rm -rf "$TMP"' EXIT
trap 'exit 2' INT TERM

# set_up: start the stand-in and the process, and wait until it serves
set_up() {
  local a=127.0.0.1 n p
  rm -f "$TMP/commands"
  mkfifo "$TMP/commands"
  mapfile -t PORTS < <("$STAND" ports 6)
  p=("${PORTS[@]}")
  "$STAND" "$TMP/record" <"$TMP/commands" &
  PIDS+=($!)
  exec 9>"$TMP/commands"
  {
    echo "store ${p[4]}"
    echo 'put op/config {"version":1,"routes":[{"name":"q","host":"queue.example","prefix":"/q/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"runners","maxAttempts":3,"stretch":2}],"services":[{"name":"runners","admissionCheck":false}],"limits":{}}'
    echo "worker ${p[5]} 16000 65536"
  } >&9
  sed -e '/{{#advice}}/d' -e 's/{{\/advice}}//' \
    -e "s/{{nodeName}}/vm/" -e "s/{{zone}}/z/" \
    -e "s/{{limits.cpuShare}}/1/" \
    -e "s/{{limits.linkMbps}}/1000\nmemory_mb = $MEMORY_MB/" \
    -e "s/{{listenAddrs.front}}/$a:${p[0]}/" \
    -e "s/{{listenAddrs.ready}}/$a:${p[1]}/" \
    -e "s/{{ip}}:{{internalPorts.0}}/$a:${p[2]}/" \
    -e "s/{{ip}}:{{internalPorts.1}}/$a:${p[3]}/" \
    -e "s/{{platform.address}}/$a:${p[4]}/" \
    -e "s/{{platform.writesPerS}}/400/" -e "s/{{platform.minTtlMs}}/1000/" \
    -e "s/{{bounds.graceS}}/6/" -e "s/{{bounds.holdMaxMs}}/10000/" \
    -e "s/{{bounds.stopTimeoutMs}}/200/" -e "s/{{bounds.status_s}}/120/" \
    deploy/cell.ini.in >"$TMP/vm.ini"
  GENTIANLATCH_CONFIG="$TMP/vm.ini" "$CELL" >"$TMP/log" 2>&1 &
  VM=$!
  PIDS+=($VM)
  for ((n = 0; n < 100; n++)); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$a:${p[1]}/readyz")" = 200 ] \
      && return 0
    sleep 0.1
  done
  echo "crowd.sh: the process is not ready"
  tail -3 "$TMP/log"
  exit 2
}

# play CASE: 0 if it passes
play() {
  local status a=127.0.0.1
  set_up
  "$BUILD/crowd" "$1" "$VM" $MEMORY_MB "$a:${PORTS[0]}" "$a:${PORTS[1]}" \
    "$a:${PORTS[3]}" "$a:${PORTS[2]}"
  status=$?
  exec 9>&-
  end_processes
  return $status
}

gcc -std=gnu11 -O2 -D_GNU_SOURCE review/stand.c -o "$STAND" \
  $(pkg-config --cflags --libs libevent jansson nettle) || exit 2
STATUS=0
for c in "${@:-${CASES[@]}}"; do
  play "$c" && continue
  if grep -q "^  crowd: $c -- " KNOWN-RED.txt; then
    echo "RED crowd: $c (KNOWN-RED.txt)"
  else
    STATUS=1
    echo "FAILED crowd: $c"
    mkdir -p run-crowd && cp "$TMP/log" "run-crowd/${c/:/-}.log"
  fi
done
exit $STATUS
