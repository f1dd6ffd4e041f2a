#!/bin/bash
# fuzz.sh BUILD SECONDS SEED -- run the fuzzers of directory BUILD with seeds from
# SEED on, until a fuzzer fails or SECONDS have passed.  The tests with "Fault" in
# their names are left out.
build=$1
end=$((SECONDS + $2))
seed=$3
while [ $SECONDS -lt "$end" ]; do
  for t in "$build"/fuzz_*; do
    SEED=$seed "$t" --gtest_filter='-*Fault*' || { echo "failed: SEED=$seed $t"; exit 1; }
  done
  seed=$((seed + 1))
done
echo "seeds $3 to $((seed - 1)) passed"
