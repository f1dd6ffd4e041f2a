#!/bin/bash
# system.sh -- tests a cell of real processes on loopback under failures: bad
# input, lost responses, a store that is down, a domain cut off from the store,
# a paused owner, lost workers, upstreams that leave, die or fall silent, and
# concurrent changes of the configuration.  Exits with 1 if a check fails that
# KNOWN-RED.txt does not list.
cd "$(dirname "$0")/.." || exit 1
export PORT=${PORT:-18000} RUN=run-system
. examples/cell.sh || exit 1
trap kill_cell EXIT
WORKERS_EACH=6 INSTANCES_EACH=4
SCHED_SETTINGS=$'worker_lease_ms = 8000\nhold_ms = 3000\ngrace_ms = 20000'
FAILED=0
PASSED=0
# check NAME GOT WANTED
check() {
  if [ "$2" = "$3" ]; then
    PASSED=$((PASSED + 1))
    echo "ok   $1"
  elif grep -qxF "  system check: $1" KNOWN-RED.txt; then
    echo "RED  $1: got \"$2\", wanted \"$3\" (KNOWN-RED.txt)"
  else
    FAILED=$((FAILED + 1))
    echo "FAIL $1: got \"$2\", wanted \"$3\""
  fi
}
# holds NAME COMMAND...: check that the command succeeds
holds() { if "${@:2}" >/dev/null 2>&1; then check "$1" yes yes; else check "$1" no yes; fi; }
# status_of CURL-ARGUMENT...: HTTP status of a request; its body is in $RUN/body
status_of() { curl -s -m 15 -o "$RUN/body" -w '%{http_code}' "$@"; }
# fault ADDRESS QUERY: inject a fault into a stand-in
fault() { curl -sf -o /dev/null -X POST "http://$1/fault?$2" || check "the fault $2 was taken" no yes; }
# job_is ID STATES: the job is in one of the states, separated by |
job_is() { CTL job "$1" 2>/dev/null | head -1 | grep -Eq " ($2) "; }
running() { CTL job "$1" 2>/dev/null | grep -c ' running attempt'; }
# never_stopped ID N: N tasks of the job run in their first attempt.  Attempt
# numbers only increase, so such a task has never been stopped, however late it
# is checked.
never_stopped() { [ "$(CTL job "$1" 2>/dev/null | grep -c 'running attempt 1')" = "$2" ]; }
running_is() { [ "$(running "$1")" = "$2" ]; }
owner_of() { CTL domains | awk -v d="$1" '$1 == d { print $3 }'; }
# owned_by_other DOMAIN VM: the domain has an owner other than VM
owned_by_other() { [ -n "$(owner_of "$1")" ] && [ "$(owner_of "$1")" != "$2" ]; }

start_cell
holds "three domains find owners" until_true 30 three_owners
cat >"$RUN/base.ini" <<'INI'
[policy]
domains = 3
[requests]
deadline_ms = 5000
first_byte_ms = 1000
[team t1]
cpus = 600
memory_gb = 2400
accels = 24
INI
CTL config apply "$RUN/base.ini" >/dev/null
holds "first configuration in force everywhere" until_true 9 revision_everywhere 1

echo "-- bad input: precise errors, state as it was"
A="http://$(admin_of 1)" E="http://$(entry_of 1)"
head -c 300000 /dev/zero >"$RUN/long"
while read -r want code args; do
  [ -n "$want" ] || continue
  got=$(eval "status_of $args")
  check "$args" "$got $(sed -nE 's/.*"error": ?"([a-z_]+)".*/\1/p' "$RUN/body")" "$want $code"
done <<'CASES'
400 invalid       -d 'no json' $A/v1/jobs
400 invalid       -d '[]' $A/v1/jobs
400 invalid       -d '{"name":"x"}' $A/v1/jobs
400 invalid       -d '{"name":"x","team":"t1","class":"slow"}' $A/v1/jobs
400 invalid       -d '{"name":"x","team":"t1","class":"batch","tasks":0}' $A/v1/jobs
400 invalid       -d '{"name":"x","team":"t1","class":"batch","cpus_m":"many"}' $A/v1/jobs
422 infeasible    -d '{"name":"x","team":"nobody","class":"batch"}' $A/v1/jobs
422 infeasible    -d '{"name":"x","team":"t1","class":"batch","cpus_m":90000}' $A/v1/jobs
503 not_owner     -d '{"name":"x","team":"t1","class":"batch","domain":"mars"}' $A/v1/jobs
404 not_found     $A/v1/jobs/123
404 not_found     $A/v1/shoes
405 bad_method    -X PATCH $A/v1/jobs
400 invalid       -X PUT -d $'[policy]\nageing_s = 0' $A/v1/config/base
400 invalid       -X PUT -d '[policy] ageing_s = 1' $A/v1/config/base
400 invalid       -X PUT -d '' $A/v1/config/No-Site
409 conflict      -X PUT -d '' "$A/v1/config/base?revision=99"
413 too_long      --data-binary @$RUN/long $A/v1/jobs
400 invalid       -X POST "$A/v1/cordon/w?on=2"
404 not_found     -X POST "$A/v1/cordon/nobody?on=1"
404 no_such_service $E/shoes/1
404 no_such_service $E/
400 bad_idempotency_key -d x -H 'Idempotency-Key: a/b' $E/gait/1
CASES
check "no job was accepted" "$(CTL jobs | wc -l)" 0
check "the revision stands" "$(CTL --json config | sed -nE 's/.*"revision": ([0-9]+).*/\1/p' | tail -1)" 1
"$BUILD/gl-entry" --settings /nowhere 2>/dev/null
check "a daemon without settings" $? 2
"$BUILD/glctl" shoes 2>/dev/null
check "an unknown command" $? 2
CTL job 12x 2>/dev/null
check "a job number that is none" $? 2
CTL job 99 2>/dev/null
check "an unknown job" $? 4
"$BUILD/glctl" --admin 127.0.0.1:1 jobs 2>/dev/null
check "nobody there" $? 5

echo "-- operators race: one revision, one winner"
for i in 1 2 3 4; do
  printf '[policy]\nageing_s = 10%s\n' $i >"$RUN/o$i.ini"
  VIA=$i CTL config apply "$RUN/o$i.ini" --site brittany --revision 1 >"$RUN/o$i.out" 2>&1 &
  APPLIES[$i]=$!
done
wins=0
for i in 1 2 3 4; do wait "${APPLIES[$i]}" && wins=$((wins + 1)); done
check "changes that won" $wins 1
holds "the winner's in force everywhere" until_true 9 revision_everywhere 2

echo "-- a service and a gang, then failures"
# All bounds up to the gang's cancel add up to less than the 600 s that the
# stand-in runs it at least: half of --runtime-s.
svc=$(submit --name svc --team t1 --class service --tasks 4 --cpus-m 1000 --memory-mb 512 --domain rennes)
gang=$(submit --name gang --team t1 --class gang --tasks 4 --cpus-m 2000 --memory-mb 512 --accels 1 --runtime-s 1200 --domain rennes)
holds "the service runs" until_true 15 running_is "$svc" 4
holds "the gang runs whole" until_true 15 running_is "$gang" 4

fault "$PLATFORM" "kind=lose&via=rennes&ms=2500"
for i in 1 2 3 4 5 6; do
  CTL submit --id 777 --name once --team t1 --class batch --runtime-s 1 --domain rennes >/dev/null 2>&1 && break
  sleep 1
done
holds "a submission whose answers were lost ends well" until_true 20 job_is 777 finished
check "it was accepted once" "$(CTL jobs | grep -c ' once ')" 1

fault "$PLATFORM" "kind=down&ms=6000"
sleep 4
t0=$(now_ms)
CTL submit --name late --team t1 --class batch --domain rennes >/dev/null 2>"$RUN/late.err"
check "without the store a submission is told to come back" $? 3
holds "and at once" [ $(($(now_ms) - t0)) -lt 3000 ]
holds "with a time" grep -q 'come back in' "$RUN/late.err"
holds "running tasks are kept" until_true 4 running_is "$svc" 4
holds "when the store is back, work is taken" until_true 20 CTL submit --name back --team t1 --class batch --runtime-s 1 --domain rennes
holds "the service never stopped" until_true 20 never_stopped "$svc" 4

fault "$PLATFORM" "kind=cut&via=vannes&ms=15000"
sleep 1
check "a domain cut off serves its callers" "$(status_of "http://$(entry_of 5)/gait/cut")" 200
check "and says of a keyed request that it was not run" \
  "$(status_of -d n -H 'Idempotency-Key: cut-1' "http://$(entry_of 5)/gait/n") $(sed -nE 's/.*"not_run":(true|false).*/\1/p' "$RUN/body")" "503 true"
printf '[policy]\nageing_s = 200\n' >"$RUN/cut.ini"
CTL config apply "$RUN/cut.ini" --site brittany >/dev/null
holds "a change reaches the domain that is cut off from the store" until_true 9 revision_everywhere 3
sleep 10
holds "owners again after the cut" until_true 30 three_owners

owner=$(owner_of rennes)
kill -STOP "${PIDS[scheduler${owner#vm}]}"
holds "a paused owner is succeeded" until_true 20 owned_by_other rennes "$owner"
kill -CONT "${PIDS[scheduler${owner#vm}]}"
sleep 3
check "one owner a domain" "$(owners)" 3
holds "the service ran on" until_true 20 never_stopped "$svc" 4

victim=$(CTL job "$svc" | awk '$1 == "task" && $3 == "running" { print $7; exit }')
fault "$WORKERS" "worker=$victim&kind=kill&ms=2000"
# restarted N: all tasks of the service run, fewer than N in their first attempt
restarted() { [ "$(CTL job "$svc" | grep -c 'running attempt 1')" -lt "$1" ] && running_is "$svc" 4; }
holds "tasks of a lost worker run again" until_true 30 restarted 4
first_attempts=$(CTL job "$svc" | grep -c 'running attempt 1')
victim=$(CTL job "$svc" | awk '$1 == "task" && $3 == "running" && $5 == 1 { print $7; exit }')
fault "$WORKERS" "worker=$victim&kind=pause&ms=15000"
holds "tasks of a silent worker run again" until_true 40 restarted $((first_attempts > 0 ? first_attempts : 1))
holds "a cordon holds" until_true 10 CTL cordon "$victim"
until_true 10 CTL uncordon "$victim"
holds "the gang runs when it is canceled" until_true 40 running_is "$gang" 4
until_true 10 CTL cancel "$gang"
holds "a canceled gang stops" until_true 15 job_is "$gang" canceled

echo "-- upstreams"
# load N URL: send N requests and print the count of each HTTP status
load() { for i in $(seq 1 "$1"); do curl -s -m 15 -o /dev/null -w '%{http_code}\n' "$2/gait/$i"; done | sort | uniq -c | awk '{ printf "%s:%s ", $2, $1 }'; }
fault "$UPSTREAMS" "instance=rennes-u0&kind=leave&ms=60000"
check "an instance leaves: answers" "$(load 60 "$E")" "200:60 "
fault "$UPSTREAMS" "instance=rennes-u1&kind=silent"
check "connections gone silent: answers" "$(load 60 "$E")" "200:60 "
for i in $(seq 1 20); do
  for e in 1 2 3; do
    curl -s -m 15 -o /dev/null -w '%{http_code}\n' -d x -H "Idempotency-Key: k-$i" "http://$(entry_of $e)/gait/notice" &
    KEYED_REQUESTS[$((i * 3 + e))]=$!
  done
  for e in 1 2 3; do wait "${KEYED_REQUESTS[$((i * 3 + e))]}"; done
done >"$RUN/keyed"
check "a key sent to three entries at once: answered well" "$(grep -c 200 "$RUN/keyed")" 20
fault "$UPSTREAMS" "instance=rennes-u2&kind=dead&ms=8000"
check "an instance dies: answers to repeatable requests" "$(load 60 "$E")" "200:60 "
check "late work for a leaving instance" "$(truth "$UPSTREAMS" late_after_leaving)" 0

echo "-- planned stops"
# cut_at_stop NAME PORT PATH: stop the process while connections hold a request
# that it has not read; prints how many get no answer
cut_at_stop() {
  local fds=() fd cut=0
  printf 'GET %s HTTP/1.1\r\nHost: x\r\n\r\n' "$3" >"$RUN/request"
  for _ in $(seq 12); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$2"
    fds+=("$fd")
    cat "$RUN/request" >&"$fd"
    timeout 0.1 cat <&"$fd" >/dev/null
  done
  kill -STOP "${PIDS[$1]}"
  for fd in "${fds[@]}"; do cat "$RUN/request" >&"$fd"; done
  kill -TERM "${PIDS[$1]}"
  kill -CONT "${PIDS[$1]}"
  for fd in "${fds[@]}"; do
    timeout 5 cat <&"$fd" 2>/dev/null | grep -q '^HTTP' || cut=$((cut + 1))
    exec {fd}>&-
  done
  echo $cut
}
for i in 1 2 3 4 5; do
  check "requests that a stopping scheduler cuts, round $i" "$(cut_at_stop scheduler6 "$(vm_port 6 5)" /metrics)" 0
  stop scheduler6
  start scheduler6 "$BUILD/gl-scheduler" --settings "$RUN/vm6.ini"
  until_true 5 curl -sf -o /dev/null "http://127.0.0.1:$(vm_port 6 5)/metrics"
done
sed -E 's/^(deadline|first_byte)_ms.*/\1_ms = 30000/' "$RUN/base.ini" >"$RUN/slow.ini"
CTL config apply "$RUN/slow.ini" >/dev/null
holds "long deadlines are in force" until_true 9 revision_everywhere "$(CTL --json config | sed -nE 's/.*"revision": ([0-9]+).*/\1/p' | tail -1)"
kill "${PIDS[entry6]}"
sleep 0.5
curl -s -m 15 -o /dev/null -D "$RUN/head" -w '%{http_code}' "http://$(entry_of 6)/gait/last" >"$RUN/status"
check "a stopping entry serves on" "$(cat "$RUN/status")" 200
holds "and says that the connection closes" grep -qi '^connection: close' "$RUN/head"
for i in $(seq 0 11); do fault "$UPSTREAMS" "instance=${DOMAINS[$((i / 4))]}-u$i&kind=dead&ms=12000"; done
check "what is open when a stopping entry must end is answered" \
  "$(status_of -d x "http://$(entry_of 6)/gait/open") $(sed -nE 's/.*"error":"([a-z_]+)".*/\1/p' "$RUN/body")" "504 stopping"
stop entry6
holds "no answer was cut" grep -q 'stopped, 0 answers cut' "$RUN/entry6.log"

# The call of one of the paused owners ends 4 s after it began, and that of
# the other would end after the daemon.
paused=()
for d in rennes brest; do
  owner=$(owner_of $d)
  paused+=("${PIDS[scheduler${owner#vm}]}")
done
kill -STOP "${paused[@]}"
curl -s -m 15 -o /dev/null -w '%{http_code}' -X DELETE "http://$(admin_of 6)/v1/jobs/123" >"$RUN/status" &
asking=$!
sleep 0.3
kill "${PIDS[admin6]}"
wait $asking
check "a stopping admin daemon answers although owners do not" "$(cat "$RUN/status")" 503
kill -CONT "${paused[@]}"

echo "-- what must hold, as the stand-ins saw it"
check "keys run twice" "$(truth "$UPSTREAMS" key_doubles)" 0
check "workers overfilled" "$(truth "$WORKERS" overfilled)" 0
check "tasks in two places" "$(truth "$WORKERS" doubled)" 0
stop_cell
check "daemons left running" "${#PIDS[@]}" 0
for f in "$RUN"/*.log; do check "$f has no crash" "$(grep -cE 'Assert|Sanitizer|core dumped' "$f")" 0; done
echo "$PASSED passed, $FAILED failed"
[ $FAILED = 0 ]
