#!/bin/sh
# words.sh -- checks that names of the platform's interface occur in platform/
# and deploy/ only.  The list of names is taken from the sources in platform/.
set -e
cd "$(dirname "$0")/.."
words=$(sed -n 's/.*"\/\([a-z]*-[a-z]*\)[?"].*/\1/p' platform/*.c | sort -u)
fields=$(grep -oh '"[a-z]*[A-Z][A-Za-z]*"' platform/*.c | tr -d '"' | sort -u)
bad=0
for w in $words $fields
do
  case $w in
    POST|GET|DELETE) continue ;;
  esac
  if grep -rnw -- "$w" src proto standin bench examples
  then
    echo "a name of the platform outside platform/: $w"
    bad=1
  fi
done
[ "$(echo $words $fields | wc -w)" -gt 30 ] || { echo "list too short"; bad=1; }
exit $bad
