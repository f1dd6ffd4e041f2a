#!/bin/bash
# crowd_daemons.sh -- crowds of clients that do not behave, one after the other,
# against gl-entry, gl-admin and gl-scheduler on loopback with lowered limits
#
#   tests/crowd_daemons.sh [CASE]
#
# Each case holds its connections open and then checks that the process lives,
# that its peak memory, its descriptors and its threads are under a bound, and
# that one ordinary request is answered.  No time and no share of served
# requests is checked.  Exits with 1 if a check fails that KNOWN-RED.txt does not
# list.
cd "$(dirname "$0")/.." || exit 1
export PORT=${PORT:-18200} RUN=run-crowd
. examples/cell.sh || exit 1
trap kill_cell EXIT
# A server may close a client's connection while it is written to.
trap '' PIPE
ulimit -n 8192 2>/dev/null
WORKERS_EACH=2 INSTANCES_EACH=8
CASE=
FAILED=0
FDS=()
# Bounds of a process: peak memory in MB, descriptors, threads.
MEMORY_MB=96 DESCRIPTORS=2400 THREADS=100

# check NAME GOT WANTED
check() {
  if [ "$2" = "$3" ]; then
    echo "ok   $CASE: $1"
  elif grep -qF -- "- crowd check: $CASE: $1; " KNOWN-RED.txt; then
    echo "RED  $CASE: $1: got \"$2\", wanted \"$3\" (KNOWN-RED.txt)"
  else
    FAILED=$((FAILED + 1))
    echo "FAIL $CASE: $1: got \"$2\", wanted \"$3\""
  fi
}
# at_most NAME GOT BOUND
at_most() { if [ "${2:-999999}" -le "$3" ]; then check "$1" yes yes; else check "$1" "$2" "at most $3"; fi; }
# open_clients PORT N: connect N clients, whose descriptors go to FDS
open_clients() {
  local i fd
  for ((i = 0; i < $2; i++)); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$1" && FDS+=("$fd")
  done 2>/dev/null
}
# each_sends COMMAND...: every client sends the command's output, until the
# server takes no more of it
each_sends() {
  local fd pids=()
  for fd in "${FDS[@]}"; do
    ("$@" | timeout 4 cat >&"$fd") 2>/dev/null &
    pids+=($!)
  done
  wait "${pids[@]}"
}
close_clients() {
  local fd
  for fd in "${FDS[@]}"; do exec {fd}>&-; done
  FDS=()
}
# request METHOD PATH HEADER: the head of a request
request() { printf '%s %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n' "$@"; }
# announced PATH LENGTH SENT: a body of which the first SENT bytes are sent
announced() { request POST "$1" "Content-Length: $2"; head -c "$3" /dev/zero; }
# chunked PATH SIZE N: N chunks of SIZE bytes, and no last one.  yes adds the line
# feed that ends a chunk.
chunked() {
  local chunk
  chunk=$(printf '%x\r\n' "$2"; head -c "$2" /dev/zero | tr '\0' x; printf '\r')
  request POST "$1" "Transfer-Encoding: chunked"
  yes "$chunk" | head -n "$((2 * $3))"
}
part_of_head() { printf 'GET / HTTP/1.1\r\nHost: h\r\n'; }
# many_members VALUE N: a job with a member of N values
many_members() {
  local body
  body=$(printf '{"name":"x","team":"t1","class":"batch","id":7,"x":[0'
    yes ",$1" | head -n "$2" | tr -d '\n'; printf ']}')
  request POST /v1/jobs "Content-Length: ${#body}"
  printf %s "$body"
}
# long_record, short_record: a record of 2 MB or 60,000 bytes without its last 4
long_record() { printf '\x80\x1f\xff\xf0'; head -c 2097132 /dev/zero; }
short_record() { printf '\x80\x00\xea\x60'; head -c 59996 /dev/zero; }
# call_and_part: a whole call of an unknown program, and a part of a record
call_and_part() {
  printf '\x80\0\0\x28\0\0\0\1\0\0\0\0\0\0\0\2\0\0\0\1\0\0\0\1'
  head -c 20 /dev/zero
  printf '\x80\0\xea\x60part'
}

# kb_of NAME FIELD: a field of the process's status
kb_of() { awk -v f="$2:" '$1 == f { print $2 }' "/proc/${PIDS[$1]}/status" 2>/dev/null; }
status_of() { curl -s -m 12 -o "$RUN/body" -w '%{http_code}' "$@"; }
# verdict NAME WANTED CURL-ARGUMENT...: the checks of a case, while the crowd is
# there; an ordinary request is answered with the status WANTED
verdict() {
  local name=$1 wanted=$2 pid=${PIDS[$1]} i
  shift 2
  # A refusal that promises "not run" and asks to come back is repeated.
  for i in 1 2 3 4 5 6; do
    [ "$(status_of "$@")" = 503 ] || break
    sleep 1
  done
  check "one ordinary request is answered" "$(status_of "$@")" "$wanted"
  check "the process lives" "$(kill -0 "$pid" 2>/dev/null && echo yes)" yes
  at_most "peak memory" $(($(kb_of "$name" VmHWM) / 1024)) "$MEMORY_MB"
  at_most "descriptors" "$(ls "/proc/$pid/fd" 2>/dev/null | wc -l)" "$DESCRIPTORS"
  at_most "threads" "$(kb_of "$name" Threads)" "$THREADS"
  echo "     $CASE: peak $(kb_of "$name" VmHWM) KB, now $(kb_of "$name" VmRSS) KB," \
    "$(ls "/proc/$pid/fd" | wc -l) descriptors, $(kb_of "$name" Threads) threads"
  close_clients
}
# ready URL: it is answered with 200
ready() { [ "$(status_of "$1")" = 200 ]; }
# fresh NAME URL: start the daemon anew, so that its peak is that of one case
fresh() {
  stop "$1"
  start "$1" "$BUILD/gl-${1%1}" --settings "$RUN/vm1.ini"
  until_true 15 ready "$2" || check "the process serves" no yes
}
# one_owner: the scheduler is active and known
one_owner() { [ "$(owners)" = 1 ]; }
# wanted NAME: this case is played; its name begins each of its checks
wanted() { CASE=$1 && [ -z "$ONLY" ] || [ "$1" = "$ONLY" ]; }
# whole_bodies N: N callers at once send bodies of 8 MB; each ends with 200, 502
# (it may have run) or a refusal that promises that it was not run, and the
# upstreams have run as many as these answers say
whole_bodies() {
  local before i pids=() ok refused unknown ran
  before=$(truth "$UPSTREAMS" runs)
  for ((i = 0; i < $1; i++)); do
    curl -s -m 15 -D "$RUN/head$i" -o /dev/null -H Expect: --data-binary "@$RUN/longest" "$E/gait/$i" &
    pids+=($!)
  done
  wait "${pids[@]}"
  ran=$(($(truth "$UPSTREAMS" runs) - before))
  ok=$(grep -l '^HTTP/1.1 200' "$RUN"/head* | wc -l)
  unknown=$(grep -l '^HTTP/1.1 502' "$RUN"/head* | wc -l)
  refused=$(grep -l '^HTTP/1.1 503' "$RUN"/head* | xargs -r grep -il '^Not-Run: 1' | wc -l)
  check "every caller has a true answer" $((ok + unknown + refused)) "$1"
  check "no refused request was run" "$([ "$ran" -ge "$ok" ] && [ "$ran" -le $((ok + unknown)) ] && echo yes)" yes
  echo "     $CASE: $ok served, $refused refused, $unknown unknown, $ran run"
}

ONLY=${1:-}
rm -rf "$RUN"
mkdir -p "$RUN"
# Limits of this test.
ENTRY_SETTINGS=$'memory_mb = 32\nconnections = 200'
ADMIN_SETTINGS=$'memory_mb = 32'
start_standins
start_vm 1
E_PORT=$(vm_port 1 2) A_PORT=$(vm_port 1 0) S_PORT=$(vm_port 1 5) R_PORT=$(vm_port 1 4)
E=http://127.0.0.1:$E_PORT A=http://127.0.0.1:$A_PORT S=http://127.0.0.1:$S_PORT

head -c 8388608 /dev/zero >"$RUN/longest"

if wanted entry-longest-request-in-calm; then
  fresh entry1 "$E/gait/1"
  check "its body is taken" "$(status_of -H Expect: --data-binary "@$RUN/longest" "$E/gait/1")" 200
  check "its answer is passed on" "$(status_of "$E/gait/bytes/8388608") $(wc -c <"$RUN/body")" "200 8388608"
fi
if wanted entry-whole-bodies; then
  fresh entry1 "$E/gait/1"
  whole_bodies 40
  verdict entry1 200 "$E/gait/1"
fi
if wanted entry-bodies-short-of-their-end; then
  fresh entry1 "$E/gait/1"
  open_clients "$E_PORT" 40
  each_sends announced /gait/1 8388608 8388600
  verdict entry1 200 "$E/gait/1"
fi
if wanted entry-chunks-short-of-their-end; then
  fresh entry1 "$E/gait/1"
  open_clients "$E_PORT" 40
  each_sends chunked /gait/1 32767 255
  verdict entry1 200 "$E/gait/1"
fi
if wanted entry-bodies-over-the-limit; then
  fresh entry1 "$E/gait/1"
  open_clients "$E_PORT" 40
  each_sends announced /gait/1 100000000000000 9000000
  verdict entry1 200 "$E/gait/1"
fi
if wanted entry-answers-not-read; then
  fresh entry1 "$E/gait/1"
  open_clients "$E_PORT" 40
  each_sends request GET /gait/bytes/8000000 "Accept: */*"
  sleep 1
  verdict entry1 200 "$E/gait/1"
fi
if wanted entry-connections-that-stand-still; then
  fresh entry1 "$E/gait/1"
  open_clients "$E_PORT" 2100
  for fd in "${FDS[@]}"; do part_of_head >&"$fd"; done 2>/dev/null
  verdict entry1 200 "$E/gait/1"
fi
MEMORY_MB=64
if wanted admin-bodies-of-many-members; then
  fresh admin1 "$A/v1/config"
  kill -STOP "${PIDS[scheduler1]}"
  open_clients "$A_PORT" 60
  each_sends many_members 0 130000
  verdict admin1 200 "$A/v1/config"
  kill -CONT "${PIDS[scheduler1]}"
fi
if wanted admin-bodies-of-many-objects; then
  fresh admin1 "$A/v1/config"
  open_clients "$A_PORT" 60
  each_sends many_members '{}' 87000
  verdict admin1 200 "$A/v1/config"
fi
if wanted admin-connections-that-stand-still; then
  fresh admin1 "$A/v1/config"
  open_clients "$A_PORT" 80
  for fd in "${FDS[@]}"; do part_of_head >&"$fd"; done 2>/dev/null
  verdict admin1 200 "$A/v1/config"
fi
if wanted scheduler-connections-that-stand-still; then
  fresh scheduler1 "$S/metrics"
  open_clients "$S_PORT" 40
  for fd in "${FDS[@]}"; do part_of_head >&"$fd"; done 2>/dev/null
  verdict scheduler1 200 "$S/metrics"
fi
if wanted scheduler-records-short-of-their-end; then
  fresh scheduler1 "$S/metrics"
  until_true 15 one_owner
  open_clients "$R_PORT" 30
  each_sends long_record
  open_clients "$R_PORT" 30
  each_sends short_record
  open_clients "$R_PORT" 30
  each_sends call_and_part
  # A call to the scheduler by way of the admin daemon: no such worker.
  verdict scheduler1 404 -X POST "$A/v1/cordon/nobody?on=1"
fi
echo "$FAILED checks failed"
[ $FAILED = 0 ]
