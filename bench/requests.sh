#!/bin/bash
# requests.sh -- latency that an entry adds to a request, from direct calls and
# calls through the entry in the same run, and the responses that callers get
# while upstreams or an entry fail
cd "$(dirname "$0")/.." || exit 1
export PORT=${PORT:-20000} RUN=run-requests
. examples/cell.sh
trap kill_cell EXIT
WORKERS_EACH=1 INSTANCES_EACH=17 WORK_MS=${WORK_MS:-20}
LOAD="$BUILD/bench-load"
start_cell
until_true 30 three_owners || exit 1
printf '[policy]\ndomains = 3\n[requests]\nfirst_byte_ms = 1000\ndeadline_ms = 5000\n' >"$RUN/base.ini"
CTL config apply "$RUN/base.ini" >/dev/null
until_true 9 revision_everywhere 1
E1="http://$(entry_of 1)/gait/x" E2="http://$(entry_of 2)/gait/x"
direct=()
for i in $(seq 0 15); do direct+=("http://$UPSTREAMS/u/rennes-u$i/x"); done
# CPU time of the first entry, clock ticks of 10 ms
ticks() { awk '{ print $14 + $15 }' "/proc/${PIDS[entry1]}/stat"; }
echo "direct, 1 connection:    $($LOAD --conns 1 --seconds 5 "${direct[@]}")"
echo "entry, 1 connection:     $($LOAD --conns 1 --seconds 5 "$E1")"
echo "direct, 32 connections:  $($LOAD --conns 32 --seconds 5 "${direct[@]}")"
ticks_used=$(ticks)
out=$($LOAD --conns 32 --seconds 5 "$E1")
ticks_used=$(($(ticks) - ticks_used))
echo "entry, 32 connections:   $out"
requests=${out%% *}
echo "entry processor time:    $((ticks_used * 10)) ms for $requests requests, $((requests * 100 / (ticks_used > 0 ? ticks_used : 1))) requests a core second"
echo "entry, keyed, 16:        $($LOAD --conns 16 --seconds 5 --keys run$$ "$E1" "$E2")"
echo "overload, 200:           $($LOAD --conns 200 --seconds 5 "$E1")"
# fault QUERY: inject a fault into the upstreams
fault() { curl -sf -o /dev/null -X POST "http://$UPSTREAMS/fault?$1"; }
# during LABEL COMMAND: run the command, which injects a fault, 2 s into 8 s of
# load on both entries
during() {
  $LOAD --conns 16 --seconds 8 "$E1" "$E2" >"$RUN/during" &
  local load=$!
  sleep 2
  eval "$2"
  wait $load
  echo "$1 $(cat "$RUN/during")"
}
during "instance leaves:        " "fault 'instance=rennes-u0&kind=leave&ms=60000'"
during "instance dies for 4 s:  " "fault 'instance=rennes-u1&kind=dead&ms=4000'"
during "connections go silent:  " "fault 'instance=rennes-u2&kind=silent'"
$LOAD --conns 16 --seconds 8 "$E2" >"$RUN/stop" &
load=$!
sleep 2
stop entry2
wait $load
echo "entry stops:             $(cat "$RUN/stop") (no answer: connections refused after the stop)"
grep -h stopped "$RUN/entry2.log"
for k in key_doubles late_after_leaving; do echo "$k $(truth "$UPSTREAMS" $k)"; done
stop_cell
