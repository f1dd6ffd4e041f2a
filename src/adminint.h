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

#define LOCALS_MAX 8
#define NODES_MAX 64
#define OWNERS_MAX 16
/* Bound on one RPC to another VM, milliseconds. */
#define RPC_MS 1000

/** struct local_t - what a daemon of this VM last said of itself */
typedef struct
{
  gl_status_t status;
  gl_ms_t heard;
} local_t;

/**
 * struct admin_t - the daemon
 * @lock: guards doc, text, locals
 * @nodes: daemons of all VMs, as last asked for; guarded in nodes.c
 */
typedef struct
{
  settings_t settings;
  httpc_t *http;
  store_t store;
  httpd_t *server;
  rpcd_t *rpc;
  unsigned int quit;
  int pipe[2];
  pthread_mutex_t lock;
  conf_doc_t doc;
  char *text;
  local_t locals[LOCALS_MAX];
  int nlocals;
  gl_status_t nodes[NODES_MAX];
  int nnodes;
  gl_ms_t nodes_at;
  uint64_t rpc_bytes;
} admin_t;

/**
 * struct owner_t - the active scheduler of a domain
 */
typedef struct
{
  char domain[32];
  char rpc[64];
  char node[64];
  uint64_t epoch;
} owner_t;

/* record.c */

/** record_start - begin to watch the record and to ask peers for it */
int record_start (admin_t *a);
/** record_run - carry a change out; its outcome is in @c */
void record_run (admin_t *a, change_t *c);

/* nodes.c */

/** nodes_serve - serve daemons and peers over RPC */
int nodes_serve (admin_t *a);
/** nodes_own - this daemon's own status */
void nodes_own (admin_t *a, gl_status_t *s);
/** nodes_json - the daemons of all VMs */
json_t *nodes_json (admin_t *a);
/** nodes_owners - the active schedulers, one a domain; their number */
int nodes_owners (admin_t *a, owner_t *out, int max);

#endif
