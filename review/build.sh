#!/bin/bash
# build.sh -- build the stand-in that the cases' scripts start
cd "$(dirname "$0")" || exit 2
mkdir -p build
exec gcc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE stand.c -o build/stand \
  $(pkg-config --cflags --libs libevent jansson nettle)
