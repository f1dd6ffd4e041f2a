#!/bin/bash
# run.sh -- one large job, and small jobs beside it
# What was sent, answered and run is written to record.txt.
. "$(dirname "$0")/../lib.sh"
set_up 8 16000 65536
config 1 "$(route q1 $PREFIX 3)"
start_vms
# 32,000 tasks that save checkpoints; 4,000 without the disruption.
STEP='{"count":4000,"cpu":10,"memMb":1,"estimateMs":100,"checkpointing":true}'
STEPS=$STEP
[ "$TROUBLE" = 0 ] || for ((i = 0; i < 7; i++)); do STEPS+=",$STEP"; done
tell "job 00000000000000d0 $PREFIX {\"spec\":\"done 100 saves\",\"steps\":[$STEPS]}"
SMALL='{"count":2,"cpu":1000,"memMb":256,"estimateMs":200}'
for ((n = 0; n < 30; n++)); do
  tell "job $(printf '%016x' $((0xe000 + n))) $PREFIX {\"spec\":\"done 200\",\
\"steps\":[$SMALL,${SMALL%\}},\"after\":[0]}]}"
  sleep 1
done
# The end of the traffic: jobs that are not accepted yet are given up.
tell quiet
sleep 18
# Accepted small jobs of which the first step has been done for 3 s, while
# nothing of them ran since and the second step was not begun.
read -r ACCEPTED DONE IDLE < <(awk '
  { t = $1 }
  $2 == "caller" && $3 == "POST" && $6 == "->" && $7 == 200 { accepted[$4] = 1 }
  $2 == "caller" && $8 == "completed" { done[$4] = 1 }
  $4 ~ /^task=000000000000e/ || $5 ~ /^task=000000000000e/ {
    split ($3 == "end" ? $5 : $4, a, "[=.]")
    if ($3 == "start" && a[4] == 1) second[a[2]] = 1
    if ($3 == "end" && a[4] == 0 && $7 == "how=done") {
      ends[a[2]]++
      at[a[2]] = t
    }
  }
  END {
    for (j in accepted) {
      if (j ~ /d0$/) continue
      n++
      d += j in done
      idle += ends[j] >= 2 && !(j in second) && t - at[j] > 3
    }
    print n + 0, d + 0, idle + 0
  }' "$RECORD")
echo "small jobs: accepted=$ACCEPTED completed=$DONE idle_for_3_s=$IDLE;" \
  "writes refused as too long: $(grep -c 'store refuses' "$RECORD")"
[ "$ACCEPTED" = 0 ] && exit 2
[ "$IDLE" = 0 ]
