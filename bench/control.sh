#!/bin/bash
# control.sh -- resource use of the daemons, as real processes on loopback: one
# domain of the target (119 workers), idle and at its share of the peak (35 task
# starts per second).  Prints CPU time, resident memory and bytes per second of
# each daemon, and the calls to the store.  SPAN sets the length of a
# measurement in seconds.
cd "$(dirname "$0")/.." || exit 1
export PORT=${PORT:-19000} RUN=run-control
. examples/cell.sh
trap kill_cell EXIT
WORKERS_EACH=117
SPAN=${SPAN:-20}

# Of one daemon: CPU time in clock ticks of 10 ms, bytes sent and received, and
# resident memory in KiB.  Of the store: reads, writes, long polls and refused
# calls, separated by commas.
cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${PIDS[$1]}/stat"; }
net_bytes_of() { CTL --json nodes | tr -d ' \n' | sed 's/},{/\n/g' | grep "\"node\":\"$1\"" | grep "\"role\":\"$2\"" | sed -E 's/.*"net_bytes":([0-9]+).*/\1/'; }
rss_of() { awk '/VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"; }
store_calls() { curl -s "http://$PLATFORM/stats" | sed -E 's/[^0-9,]//g'; }

# sample LABEL: measure for SPAN seconds and print the rates
sample() {
  local vm daemon
  sleep 2
  declare -gA TICKS_BEFORE BYTES_BEFORE
  CALLS_BEFORE=$(store_calls)
  for vm in 1 2; do
    for daemon in admin scheduler entry; do
      TICKS_BEFORE[$daemon$vm]=$(cpu_ticks $daemon$vm)
      BYTES_BEFORE[$daemon$vm]=$(net_bytes_of vm$vm $daemon)
    done
  done
  sleep "$SPAN"
  CALLS_AFTER=$(store_calls)
  for vm in 1 2; do
    for daemon in admin scheduler entry; do
      printf '%-8s vm%s %-10s cpu %5.2f%% of a core, memory %5d KiB, %6d B/s\n' \
        "$1" "$vm" "$daemon" \
        "$(echo "scale=4; ($(cpu_ticks $daemon$vm) - ${TICKS_BEFORE[$daemon$vm]}) / $SPAN" | bc)" \
        "$(rss_of $daemon$vm)" $((($(net_bytes_of vm$vm $daemon) - ${BYTES_BEFORE[$daemon$vm]}) / (SPAN + 2)))
    done
  done
  IFS=, read -r gets_before puts_before waits_before _ <<<"$CALLS_BEFORE"
  IFS=, read -r gets_after puts_after waits_after _ <<<"$CALLS_AFTER"
  echo "$1 store: reads $(((gets_after - gets_before) * 10 / SPAN))/10s writes $(((puts_after - puts_before) * 10 / SPAN))/10s waits begun $(((waits_after - waits_before) * 10 / SPAN))/10s"
}

DOMAINS=(d1 d2 d3)
# start_one_domain: the stand-ins for d1 and the daemons of two entry VMs
start_one_domain() {
  rm -rf "$RUN"
  mkdir -p "$RUN"
  start platform "$BUILD/standin-platform" --listen "all=$PLATFORM" \
    --listen "d1=127.0.0.1:$((PORT + 1))"
  start workers "$BUILD/standin-workers" --listen "$WORKERS" \
    --platform "http://$PLATFORM" --group "d1,90,8,16000,65536,0" \
    --group "d1,29,8,32000,131072,8"
  start upstreams "$BUILD/standin-upstreams" --listen "$UPSTREAMS" \
    --platform "http://$PLATFORM" --work-ms 20 --group "gait,d1,17,8"
  start_vm 1
  start_vm 2
}
start_one_domain
until_true 20 sh -c "$BUILD/glctl --admin $(admin_of 1) domains | grep -q starts" || { echo "no owner"; exit 1; }
printf '[policy]\ndomains = 1\n[team t1]\ncpus = 5000\nmemory_gb = 20000\naccels = 1400\n' >"$RUN/base.ini"
CTL config apply "$RUN/base.ini" >/dev/null
sleep 3
CTL submit --name services --team t1 --class service --tasks 177 --cpus-m 1500 --memory-mb 2048 >/dev/null
CTL submit --name long --team t1 --class batch --tasks 700 --cpus-m 1000 --memory-mb 1024 --runtime-s 20000 >/dev/null
sleep 4
CTL domains
sample idle
# 35 task starts per second: a job of 70 tasks of about 2 s, every 2 s
run_peak_load() {
  for _ in $(seq 1 $((SPAN / 2 + 4))); do
    CTL submit --name peak --team t1 --class batch --tasks 70 --cpus-m 500 --memory-mb 256 --runtime-s 2 >/dev/null
    sleep 2
  done
}
starts_before=$(truth "$WORKERS" starts)
run_peak_load &
LOAD_PID=$!
sample peak
wait $LOAD_PID
echo "starts in the peak: $(($(truth "$WORKERS" starts) - starts_before))"
CTL waits
stop_cell
