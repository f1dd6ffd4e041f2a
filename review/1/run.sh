#!/bin/bash
# run.sh -- an entry below servers/ under a long key, while VMs start again
# What was sent, answered and run is written to record.txt.
. "$(dirname "$0")/../lib.sh"
set_up 4 16000 65536
config 1 "$(route q1 $PREFIX 3)"
start_vms
JOB='{"spec":"done 500","steps":[{"count":4,"cpu":1000,"memMb":256,"estimateMs":500}]}'
tell "job 00000000000000a1 $PREFIX $JOB"
await 'caller GET 00000000000000a1 .* completed' 15 || { echo "no service"; exit 2; }
ID=i-$(printf 'x%.0s' {1..148})
[ "$TROUBLE" = 0 ] && ID=i-xyz
# The entry is whole in all but its id, and names a worker that nobody runs.
tell "put servers/$ID {\"service\":\"runners\",\"address\":\"127.0.0.1:1\",\
\"zone\":\"z0\",\"state\":\"draining\",\"capacity\":{\"cpu\":1,\"memMb\":1,\
\"gpu\":0},\"labels\":[],\"sequence\":1}"
sleep 1
# A planned restart, one VM after the other; one that ends is started again.
# Ends within a second of the planned stop are not counted.
ENDS=(0 0 0)
for ((i = 0; i < VMS; i++)); do
  stop_vm $i
  start_vm $i
  for ((n = 0; n < 6; n++)); do
    sleep 1.1
    kill -0 "${PIDS[$i]}" 2>/dev/null && continue
    wait "${PIDS[$i]}" 2>/dev/null
    note "vm$i ended by itself, status $?"
    [ $n = 0 ] || ENDS[$i]=$((ENDS[i] + 1))
    start_vm $i
  done
done
tell "job 00000000000000a2 $PREFIX $JOB"
await 'caller GET 00000000000000a2 .* completed' 15
SERVED=$?
BAD=0
for ((i = 0; i < VMS; i++)); do
  [ "${ENDS[$i]}" -ge 3 ] && BAD=$((BAD + 1))
done
echo "ends of processes by themselves: ${ENDS[*]}; served after it: $((1 - SERVED))"
# Three ends on two machines at least.
[ $BAD -lt 2 ]
