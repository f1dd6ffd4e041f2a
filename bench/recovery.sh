#!/bin/bash
# recovery.sh -- times to recover, measured on real processes on loopback: after
# five kills and one planned stop of the active scheduler and after a store
# outage, and the time until a change of the configuration is in force, also
# with a domain cut off from the store
cd "$(dirname "$0")/.." || exit 1
export PORT=${PORT:-21000} RUN=run-recovery
. examples/cell.sh
trap kill_cell EXIT
WORKERS_EACH=16 INSTANCES_EACH=2
start_cell
until_true 30 three_owners || exit 1
printf '[policy]\ndomains = 3\n[team t1]\ncpus = 600\nmemory_gb = 2400\n' >"$RUN/base.ini"
CTL config apply "$RUN/base.ini" >/dev/null
until_true 9 revision_everywhere 1
# submit: submit an urgent job once and print its number, or nothing on failure;
# replaces the function of cell.sh
submit() { CTL submit --name probe --team t1 --class urgent --runtime-s 1 --domain rennes 2>/dev/null | cut -d' ' -f1; }
# started N: the workers have started more than N tasks in all
started() { [ "$(truth "$WORKERS" starts)" -gt "$1" ]; }
for i in 1 2 3 4 5; do
  owner=$(CTL domains | awk '$1 == "rennes" { print $3 }')
  starts=$(truth "$WORKERS" starts)
  t0=$(now_ms)
  stop "scheduler${owner#vm}" KILL
  start "scheduler${owner#vm}" "$BUILD/gl-scheduler" --settings "$RUN/${owner}.ini"
  until [ -n "$(submit)" ]; do sleep 0.05; done
  until_true 20 started "$starts"
  echo "kill $i: next start after $(($(now_ms) - t0)) ms"
done
owner=$(CTL domains | awk '$1 == "rennes" { print $3 }')
t0=$(now_ms)
starts=$(truth "$WORKERS" starts)
stop "scheduler${owner#vm}"
start "scheduler${owner#vm}" "$BUILD/gl-scheduler" --settings "$RUN/${owner}.ini"
until [ -n "$(submit)" ]; do sleep 0.05; done
until_true 20 started "$starts"
echo "planned stop: next start after $(($(now_ms) - t0)) ms"
curl -s -o /dev/null -X POST "http://$PLATFORM/fault?kind=down&ms=10000"
t0=$(now_ms)
sleep 9.5
until [ -n "$(submit)" ]; do sleep 0.02; done
echo "store down for 10000 ms: next acceptance $(($(now_ms) - t0 - 10000)) ms after its return"
for i in 1 2 3; do
  printf '[policy]\nageing_s = 1%s\n' $i >"$RUN/o.ini"
  t0=$(now_ms)
  CTL config apply "$RUN/o.ini" --site brittany >/dev/null
  until_true 9 revision_everywhere $((1 + i))
  echo "change $i: in force on 18 daemons after $(($(now_ms) - t0)) ms"
done
curl -s -o /dev/null -X POST "http://$PLATFORM/fault?kind=cut&via=vannes&ms=20000"
sleep 1
printf '[policy]\nageing_s = 77\n' >"$RUN/o.ini"
t0=$(now_ms)
CTL config apply "$RUN/o.ini" --site brittany >/dev/null
until_true 9 revision_everywhere 5
echo "change with vannes cut off from the store: in force on 18 daemons after $(($(now_ms) - t0)) ms"
stop_cell
