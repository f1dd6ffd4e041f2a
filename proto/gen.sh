#!/bin/sh
# Regenerates the committed XDR and RPC code from the .x files.
set -e
cd "$(dirname "$0")"
for n in gl_rec gl_rpc gl_cell
do
  rm -f $n.h ${n}_xdr.c ${n}_clnt.c
  rpcgen -N -M -h -o $n.h $n.x
  rpcgen -N -M -c -o ${n}_xdr.c $n.x
done
# The cell's records use the resources of gl_rec.
sed -i 's|#include <rpc/rpc.h>|#include <rpc/rpc.h>\n#include "gl_rec.h"|' \
  gl_cell.h
rpcgen -N -M -l -o gl_rpc_clnt.c gl_rpc.x
