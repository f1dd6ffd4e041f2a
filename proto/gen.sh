#!/bin/sh
# Regenerates the committed XDR and RPC code from the .x files.
set -e
cd "$(dirname "$0")"
for n in gl_rec gl_rpc
do
  rm -f $n.h ${n}_xdr.c ${n}_clnt.c
  rpcgen -N -M -h -o $n.h $n.x
  rpcgen -N -M -c -o ${n}_xdr.c $n.x
done
rpcgen -N -M -l -o gl_rpc_clnt.c gl_rpc.x
