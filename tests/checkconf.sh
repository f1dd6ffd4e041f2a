#!/bin/sh
# checkconf.sh -- runs of gl-checkconf with expected output and exit code.  Guards
# against findings that are missed, against ones that are not there, and against
# keys that are printed.  Each run is a line of tests/checkconf/runs: the expected
# exit code and the arguments; outputs follow each other in expected.txt.
cd "$(dirname "$0")/checkconf" || exit 1
program=../../${BUILD:-build}/gl-checkconf
run_all() {
  while read -r want args
  do
    echo "\$ gl-checkconf $args"
    # shellcheck disable=SC2086
    $program $args 2>/dev/null
    got=$?
    [ "$got" = "$want" ] || echo "exit code $got, wanted $want"
  done < runs
}
run_all | diff - expected.txt && echo "ok   gl-checkconf: $(wc -l < runs) runs"
