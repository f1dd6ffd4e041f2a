#!/bin/sh
# Regenerates the XDR and RPC code, which is committed, from the .x files.
set -e
cd "$(dirname "$0")"
for n in gl_rec gl_rpc gl_cell
do
  rm -f $n.h ${n}_xdr.c ${n}_clnt.c
  rpcgen -N -M -h -o $n.h $n.x
  rpcgen -N -M -c -o ${n}_xdr.c $n.x
done
# gl_cell.x uses types of gl_rec.x, so its header has to include the other.
sed -i 's|#include <rpc/rpc.h>|#include <rpc/rpc.h>\n#include "gl_rec.h"|' \
  gl_cell.h
rpcgen -N -M -l -o gl_rpc_clnt.c gl_rpc.x
