#!/bin/bash
# capacity.sh BUILD: print the slopes anew; fail where a number differs from
# docs/CAPACITY.md by more than 10 percent
fresh=$("$1/bench-capacity") || exit 1
echo "$fresh"
page=$(sed -n '/^<!-- slopes -->/,/^<!-- end -->/p' docs/CAPACITY.md | grep -v -e '^<!--' -e '^```')
paste -d '\n' <(grep -oE '[0-9]+(\.[0-9]+)?' <<<"$fresh") <(grep -oE '[0-9]+(\.[0-9]+)?' <<<"$page") |
  awk 'NR % 2 { f = $1; next }
    { n++; d = f > $1 ? f - $1 : $1 - f
      if (d > 0.1 * ($1 > 0.5 ? $1 : 0.5)) { print "differs: " f " now, " $1 " on the page"; bad = 1 } }
    END { if (!n) { print "no slopes on the page"; bad = 1 }
      if (!bad) print n " numbers within 10 percent of docs/CAPACITY.md"; exit bad }'
