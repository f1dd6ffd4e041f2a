#!/bin/bash
# capacity.sh BUILD -- run BUILD/bench-capacity, print its output and compare it
# with the numbers in docs/CAPACITY.md; exits with 1 if one differs by more than
# 10 percent, or by more than 0.05 if that is larger
measured=$("$1/bench-capacity") || exit 1
echo "$measured"
page=$(sed -n '/^<!-- slopes -->/,/^<!-- end -->/p' docs/CAPACITY.md | grep -v -e '^<!--' -e '^```')
paste -d '\n' <(grep -oE '[0-9]+(\.[0-9]+)?' <<<"$measured") <(grep -oE '[0-9]+(\.[0-9]+)?' <<<"$page") |
  awk 'NR % 2 { now = $1; next }
    { n++; d = now > $1 ? now - $1 : $1 - now
      if (d > 0.1 * ($1 > 0.5 ? $1 : 0.5)) { print "differs: " now " now, " $1 " on the page"; bad = 1 } }
    END { if (!n) { print "no slopes on the page"; bad = 1 }
      if (!bad) print n " numbers within 10 percent of docs/CAPACITY.md"; exit bad }'
