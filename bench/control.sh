#!/bin/bash
# control.sh -- what the daemons cost, as real processes on loopback: one
# domain of the target (119 workers), idle and at its share of the peak (35
# starts/s).  Prints per daemon: CPU, resident memory, bytes a second; and the
# store's calls.
cd "$(dirname "$0")/.." || exit 1
export PORT=${PORT:-19000} RUN=run-control
. examples/cell.sh
trap kill_cell EXIT
WORKERS_EACH=117
SPAN=${SPAN:-20}

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${PIDS[$1]}/stat"; }
bytes_of() { CTL --json nodes | tr -d ' \n' | sed 's/},{/\n/g' | grep "\"node\":\"$1\"" | grep "\"role\":\"$2\"" | sed -E 's/.*"net_bytes":([0-9]+).*/\1/'; }
rss_of() { awk '/VmRSS/ { print $2 }' "/proc/${PIDS[$1]}/status"; }
calls() { curl -s "http://$PLATFORM/stats" | sed -E 's/[^0-9,]//g'; }

sample() {
  local vm d
  sleep 2
  declare -gA T0 B0
  C0=$(calls)
  for vm in 1 2; do
    for d in admin scheduler entry; do
      T0[$d$vm]=$(cpu_ticks $d$vm)
      B0[$d$vm]=$(bytes_of vm$vm $d)
    done
  done
  sleep "$SPAN"
  C1=$(calls)
  for vm in 1 2; do
    for d in admin scheduler entry; do
      printf '%-8s vm%s %-10s cpu %5.2f%% of a core, memory %5d KiB, %6d B/s\n' \
        "$1" "$vm" "$d" \
        "$(echo "scale=4; ($(cpu_ticks $d$vm) - ${T0[$d$vm]}) / $SPAN" | bc)" \
        "$(rss_of $d$vm)" $((($(bytes_of vm$vm $d) - ${B0[$d$vm]}) / (SPAN + 2)))
    done
  done
  IFS=, read -r g0 p0 w0 _ <<<"$C0"
  IFS=, read -r g1 p1 w1 _ <<<"$C1"
  echo "$1 store: reads $(((g1 - g0) * 10 / SPAN))/10s writes $(((p1 - p0) * 10 / SPAN))/10s waits begun $(((w1 - w0) * 10 / SPAN))/10s"
}

DOMAINS=(d1 d2 d3)
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
# 35 starts a second: 70 tasks of about 2 s, every two seconds
load() {
  for _ in $(seq 1 $((SPAN / 2 + 4))); do
    CTL submit --name peak --team t1 --class batch --tasks 70 --cpus-m 500 --memory-mb 256 --runtime-s 2 >/dev/null
    sleep 2
  done
}
s0=$(truth "$WORKERS" starts)
load &
LOAD=$!
sample peak
wait $LOAD
echo "starts in the peak: $(($(truth "$WORKERS" starts) - s0))"
CTL waits
stop_cell
