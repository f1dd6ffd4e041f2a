#!/bin/bash
# demo.sh -- a demonstration on stand-ins: places tasks, forwards requests,
# changes the configuration, kills a scheduler, stops.  Exits with 1 if a check
# fails.
cd "$(dirname "$0")/.." || exit 1
. examples/cell.sh || exit 1
trap kill_cell EXIT
FAILS=0
# say TEXT...: print a heading
say() { printf '\n== %s\n' "$*"; }
# check NAME GOT WANTED
check() {
  if [ "$2" = "$3" ]; then echo "ok: $1 = $2"; else
    echo "BROKEN: $1 is $2, wanted $3"
    FAILS=$((FAILS + 1))
  fi
}

say "starting 18 daemons and the stand-ins"
start_cell
until_true 20 three_owners || { echo "no owners"; tail -n 5 "$RUN"/*.log; exit 1; }
CTL domains

say "configuration: base, then an overlay"
cat >"$RUN/base.ini" <<'INI'
[policy]
domains = 3
ageing_s = 120
[requests]
deadline_ms = 5000
[team foulee]
cpus = 600
memory_gb = 2400
accels = 24
[team lab]
cpus = 300
memory_gb = 1200
accels = 24
INI
CTL config apply "$RUN/base.ini" --author operator
t0=$(now_ms)
until_true 9 revision_everywhere 1
echo "revision 1 in force on 18 daemons after $(($(now_ms) - t0)) ms"
printf '[policy]\nageing_s = 60\n' >"$RUN/brittany.ini"
CTL config check "$RUN/brittany.ini" --site brittany
CTL config apply "$RUN/brittany.ini" --site brittany --author operator
t0=$(now_ms)
if until_true 9 revision_everywhere 2; then
  echo "revision 2 in force on 18 daemons after $(($(now_ms) - t0)) ms"
else
  echo "BROKEN: revision 2 is not in force everywhere within 9 s"
  FAILS=$((FAILS + 1))
fi
CTL nodes | head -4

say "a batch job, a service, a gang with accelerators, an urgent check"
batch=$(submit --name weekly-rebuild --team lab --class batch --tasks 8 \
  --cpus-m 2000 --memory-mb 4096 --runtime-s 20 --domain rennes)
service=$(submit --name gait --team foulee --class service --tasks 6 \
  --cpus-m 2000 --memory-mb 4096 --domain rennes)
gang=$(submit --name fit-model --team lab --class gang --tasks 4 \
  --cpus-m 4000 --memory-mb 8192 --accels 2 --runtime-s 10 --domain rennes)
urgent=$(submit --name quick-check --team foulee --class urgent \
  --cpus-m 1000 --memory-mb 1024 --runtime-s 2)
until_true 5 sh -c "$BUILD/glctl --admin $(admin_of 1) job $service | grep -c ' running ' | grep -qx 7"
for j in "$batch" "$service" "$gang" "$urgent"; do CTL job "$j" | head -4; done
CTL waits
echo "refused at once:"
CTL submit --name too-big --team lab --class batch --cpus-m 64000; echo "exit status $?"

say "requests through an entry"
for i in $(seq 1 40); do
  curl -s -o /dev/null -w '%{http_code}\n' "http://$(entry_of 1)/gait/report/$i"
done | sort | uniq -c
for i in $(seq 1 10); do
  curl -s -o /dev/null -w '%{http_code}\n' -d "notice $i" \
    -H "Idempotency-Key: notice-$i" "http://$(entry_of $((1 + i % 6)))/gait/notice"
done | sort | uniq -c
echo "the same notice again, at another entry:"
curl -s -d again -H "Idempotency-Key: notice-3" "http://$(entry_of 2)/gait/notice"
curl -s "http://$(entry_of 1)/gait/whole"

say "killing the active scheduler of rennes"
owner=$(CTL domains | awk '$1 == "rennes" { print $3 }')
before=$(truth "$WORKERS" starts)
stop "scheduler${owner#vm}" KILL
t0=$(now_ms)
if until_true 20 three_owners && until_true 20 sh -c "$BUILD/glctl --admin $(admin_of 1) domains | grep rennes | grep -v \"owner $owner \""; then
  echo "a successor after $(($(now_ms) - t0)) ms"
else
  echo "BROKEN: no successor"
  FAILS=$((FAILS + 1))
fi
CTL domains
next=$(submit --name after --team lab --class batch --runtime-s 1 --domain rennes)
until_true 10 sh -c "$BUILD/glctl --admin $(admin_of 1) job $next | grep -Eq 'finished|running'" && echo "next start $(($(now_ms) - t0)) ms after the kill"
CTL job "$service" | head -3
until_true 40 sh -c "$BUILD/glctl --admin $(admin_of 1) job $batch | grep -q finished"
check "the rebuild's state" "$(CTL --json job "$batch" | sed -nE 's/.*"state": "(finished)".*/\1/p' | head -1)" finished
check "first attempts of the service still running" \
  "$(CTL job "$service" | grep -c 'running attempt 1')" 6
echo "starts before the kill $before, now $(truth "$WORKERS" starts)"

say "stopping gracefully, with requests in flight"
for i in $(seq 1 30); do
  curl -s -o /dev/null -w '%{http_code}\n' "http://$(entry_of 3)/gait/late/$i" &
  REQUESTS[$i]=$!
done >"$RUN/late.codes"
sleep 0.02
stop entry3
for i in $(seq 1 30); do wait "${REQUESTS[$i]}"; done
sort "$RUN/late.codes" | uniq -c
grep stopped "$RUN/entry3.log"
check "answers cut by the stop" "$(sed -nE 's/.*stopped, ([0-9]+) answers cut/\1/p' "$RUN/entry3.log")" 0

say "report"
CTL waits
CTL domains
CTL nodes
for s in 1 2 3 4 5 6; do
  curl -s "http://127.0.0.1:$(vm_port $s 5)/metrics" | grep -E 'gl_sched_wait_ms.*quantile="0.99"' | sed "s/^/vm$s /"
done
curl -s "http://$PLATFORM/stats"
check "workers overfilled" "$(truth "$WORKERS" overfilled)" 0
check "tasks in two places" "$(truth "$WORKERS" doubled)" 0
check "keys run twice" "$(truth "$UPSTREAMS" key_doubles)" 0
stop_cell
check "daemons left running" "${#PIDS[@]}" 0
[ $FAILS = 0 ] && echo "demo: every check holds"
exit $((FAILS > 0))
