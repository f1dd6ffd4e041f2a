/* adminint.h -- private state of the administration daemon */
#ifndef GL_ADMININT_H
#define GL_ADMININT_H

#include <jansson.h>
#include <pthread.h>

#include "change.h"
#include "daemon.h"
#include "httpd.h"
#include "platform.h"
#include "rpcc.h"
#include "rpcd.h"

/* Most daemons of this VM whose status is kept. */
#define LOCAL_DAEMONS_MAX 8
/* Most daemons of all VMs together that are listed. */
#define NODES_MAX 64
/* Most owners, and so domains, that requests are sent to. */
#define OWNERS_MAX 16
/* Timeout of one RPC to another VM's administration daemon, milliseconds. */
#define PEER_RPC_TIMEOUT_MS 1000

/**
 * struct local_daemon_t - a daemon of this VM
 * @status: the latest status that it reported
 * @reported_at: time of that report, by clock_ms
 */
typedef struct
{
  gl_status_t status;
  gl_ms_t reported_at;
} local_daemon_t;

/**
 * struct admin_t - state of the administration daemon
 * @http: client for the key-value service
 * @server: serves operators over HTTP
 * @budget: bound on the memory of their requests, parsed ones included
 * @rpc: serves daemons and peers over RPC
 * @stopping: set once a stop is requested; read with ck_pr
 * @stop_answer_at: time by which every request must be answered, by clock_ms;
 * 0 while no stop is requested; read with ck_pr
 * @stop_pipe: a byte in it ends main's wait
 * @lock: guards doc, doc_text, local_daemons and their number
 * @doc: the configuration record with the highest revision seen
 * @doc_text: its text as received; NULL before the first
 * @nodes: daemons of all VMs, as last fetched; guarded by a lock in nodes.c
 * @nodes_at: time at which they were fetched, by clock_ms
 * @rpc_bytes: bytes of all RPCs to peers for the record so far
 */
typedef struct
{
  settings_t settings;
  httpc_t *http;
  store_t store;
  httpd_t *server;
  budget_t *budget;
  rpcd_t *rpc;
  unsigned int stopping;
  uint64_t stop_answer_at;
  int stop_pipe[2];
  pthread_mutex_t lock;
  conf_doc_t doc;
  char *doc_text;
  local_daemon_t local_daemons[LOCAL_DAEMONS_MAX];
  int nlocal_daemons;
  gl_status_t nodes[NODES_MAX];
  int nnodes;
  gl_ms_t nodes_at;
  uint64_t rpc_bytes;
} admin_t;

/**
 * struct owner_t - the active scheduler of a domain
 * @rpc: address of its RPC server, "IP:port"
 * @node: name of its VM
 * @epoch: epoch of its ownership
 */
typedef struct
{
  char domain[32];
  char rpc[64];
  char node[64];
  uint64_t epoch;
} owner_t;

/* admin.c */

/** admin_rpc_timeout - @timeout, or what a stop leaves of it; 0 if that is too
    little for a call */
gl_ms_t admin_rpc_timeout (const admin_t *a, gl_ms_t timeout);

/* record.c */

/** record_start - start the threads that watch the record and poll peers for
    it; 0, or -1 on an error */
int record_start (admin_t *a);
/** record_apply_change - make a change of the record; its outcome is in @c */
void record_apply_change (admin_t *a, change_t *c);

/* nodes.c */

/** nodes_serve - serve daemons and peers over RPC; 0, or -1 if the address
    cannot be used */
int nodes_serve (admin_t *a);
/** nodes_own_status - status of this daemon; the caller holds a->lock and
    frees the strings with xdr_free */
void nodes_own_status (admin_t *a, gl_status_t *s);
/** nodes_json - the daemons of all VMs as a JSON array */
json_t *nodes_json (admin_t *a);
/** nodes_owners - store the active schedulers, one per domain, at most @max;
    returns their number */
int nodes_owners (admin_t *a, owner_t *out, int max);

#endif
