/*
 * nodes.c -- the daemons of this VM and of the others
 *
 * A daemon reports its status when it asks this one for the configuration.
 * The administration daemons of the other VMs are asked for theirs when an
 * operator's request needs them.  The owner of a domain is the active
 * scheduler with the highest epoch; so a scheduler that has lost its domain
 * and does not know it yet is ignored once its successor reports.
 */
#include "adminint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A daemon of this VM that has not reported for this long is not listed,
   milliseconds. */
#define LOCAL_EXPIRE_MS 5000
/* The fetched statuses of all VMs are used again for this long,
   milliseconds. */
#define NODES_FRESH_MS 200

/* ---- statuses ---- */

/* Free the content of *@to and make it a deep copy of *@from. */
static void
status_copy (gl_status_t *to, const gl_status_t *from)
{
  xdr_free ((xdrproc_t)xdr_gl_status_t, (void *)to);
  *to = *from;
  to->node = strdup (from->node);
  to->domain = strdup (from->domain);
  to->role = strdup (from->role);
  to->rpc = strdup (from->rpc);
}

void
nodes_own_status (admin_t *a, gl_status_t *s)
{
  memset (s, 0, sizeof *s);
  daemon_status (s, &a->settings, "admin");
  free (s->rpc);
  s->rpc = strdup (a->settings.admin_rpc);
  s->revision = a->doc.revision;
  s->net_bytes = httpc_bytes (a->http) + a->rpc_bytes;
}

/* Keep the status that a daemon of this VM has reported; the caller holds
   a->lock. */
static void
status_reported (admin_t *a, const gl_status_t *s)
{
  int i = 0;

  if (strcmp (s->node, a->settings.node))
    return;
  while (i < a->nlocal_daemons
         && strcmp (a->local_daemons[i].status.role, s->role))
    i++;
  if (i == LOCAL_DAEMONS_MAX)
    return;
  if (i == a->nlocal_daemons)
    a->nlocal_daemons++;
  status_copy (&a->local_daemons[i].status, s);
  a->local_daemons[i].reported_at = clock_ms ();
}

/* ---- RPC for daemons and peers ---- */

/* GL_CONF: keep the caller's status; return the record if it is newer. */
static int
rpc_conf (void *ctx, const void *in, void *out)
{
  admin_t *a = ctx;
  const gl_conf_ask_t *request = in;
  gl_conf_reply_t *reply = out;

  pthread_mutex_lock (&a->lock);
  status_reported (a, &request->from);
  reply->revision = a->doc.revision;
  reply->text = strdup (
      a->doc_text && request->known_revision < a->doc.revision ? a->doc_text
                                                               : "");
  pthread_mutex_unlock (&a->lock);
  return 0;
}

/* GL_NODES: this daemon, and the daemons of this VM that have reported within
   LOCAL_EXPIRE_MS. */
static int
rpc_nodes (void *ctx, const void *in, void *out)
{
  admin_t *a = ctx;
  gl_nodes_reply_t *reply = out;

  (void)in;
  reply->nodes.nodes_val
      = calloc (LOCAL_DAEMONS_MAX + 1, sizeof (gl_status_t));
  if (!reply->nodes.nodes_val)
    return -1;
  pthread_mutex_lock (&a->lock);
  nodes_own_status (a, &reply->nodes.nodes_val[reply->nodes.nodes_len++]);
  for (int i = 0; i < a->nlocal_daemons; i++)
    if (clock_ms () < a->local_daemons[i].reported_at + LOCAL_EXPIRE_MS)
      status_copy (&reply->nodes.nodes_val[reply->nodes.nodes_len++],
                   &a->local_daemons[i].status);
  pthread_mutex_unlock (&a->lock);
  return 0;
}

/* The arguments of GL_NODES, which has none. */
static bool_t
xdr_nothing (XDR *x, ...)
{
  (void)x;
  return TRUE;
}

static const rpcd_proc_t procs[RPCD_PROCS] = {
  [GL_CONF]
  = { (xdrproc_t)xdr_gl_conf_ask_t, sizeof (gl_conf_ask_t),
      (xdrproc_t)xdr_gl_conf_reply_t, sizeof (gl_conf_reply_t), rpc_conf },
  [GL_NODES] = { xdr_nothing, 0, (xdrproc_t)xdr_gl_nodes_reply_t,
                 sizeof (gl_nodes_reply_t), rpc_nodes },
};

/* ---- the daemons of all VMs ---- */

static void
add_nodes (admin_t *a, const gl_nodes_reply_t *reply)
{
  for (u_int i = 0; i < reply->nodes.nodes_len && a->nnodes < NODES_MAX; i++)
    {
      memset (&a->nodes[a->nnodes], 0, sizeof a->nodes[0]);
      status_copy (&a->nodes[a->nnodes++], &reply->nodes.nodes_val[i]);
    }
}

/* Guards admin_t.nodes, nnodes and nodes_at. */
static pthread_mutex_t nodes_lock = PTHREAD_MUTEX_INITIALIZER;

/* Fetch the daemons of every VM, unless they were fetched within
   NODES_FRESH_MS; the caller holds nodes_lock. */
static void
refresh_nodes (admin_t *a)
{
  gl_nodes_reply_t reply;

  if (a->nnodes && clock_ms () < a->nodes_at + NODES_FRESH_MS)
    return;
  for (int i = 0; i < a->nnodes; i++)
    xdr_free ((xdrproc_t)xdr_gl_status_t, (void *)&a->nodes[i]);
  a->nnodes = 0;
  memset (&reply, 0, sizeof reply);
  if (!rpc_nodes (a, NULL, &reply))
    add_nodes (a, &reply);
  xdr_free ((xdrproc_t)xdr_gl_nodes_reply_t, (void *)&reply);
  for (int p = 0; p < a->settings.npeers; p++)
    {
      gl_ms_t timeout = admin_rpc_timeout (a, PEER_RPC_TIMEOUT_MS / 2);
      rpcc_t r = { 0 };

      if (!timeout)
        break;
      memset (&reply, 0, sizeof reply);
      if (!rpcc_call (&r, a->settings.peers[p], GL_NODES, xdr_nothing, NULL,
                      (xdrproc_t)xdr_gl_nodes_reply_t, &reply, timeout))
        add_nodes (a, &reply);
      xdr_free ((xdrproc_t)xdr_gl_nodes_reply_t, (void *)&reply);
      rpcc_close (&r);
    }
  a->nodes_at = clock_ms ();
}

int
nodes_owners (admin_t *a, owner_t *out, int max)
{
  int n = 0;

  pthread_mutex_lock (&nodes_lock);
  refresh_nodes (a);
  for (int i = 0; i < a->nnodes; i++)
    {
      gl_status_t *s = &a->nodes[i];
      int k = 0;

      if (!s->active)
        continue;
      while (k < n && strcmp (out[k].domain, s->domain))
        k++;
      if (k == max || (k < n && out[k].epoch > s->epoch))
        continue;
      snprintf (out[k].domain, sizeof out[k].domain, "%s", s->domain);
      snprintf (out[k].rpc, sizeof out[k].rpc, "%s", s->rpc);
      snprintf (out[k].node, sizeof out[k].node, "%s", s->node);
      out[k].epoch = s->epoch;
      if (k == n)
        n++;
    }
  pthread_mutex_unlock (&nodes_lock);
  return n;
}

json_t *
nodes_json (admin_t *a)
{
  json_t *out = json_array ();

  pthread_mutex_lock (&nodes_lock);
  refresh_nodes (a);
  for (int i = 0; i < a->nnodes; i++)
    {
      gl_status_t *s = &a->nodes[i];

      json_array_append_new (
          out,
          json_pack ("{s:s,s:s,s:s,s:s,s:I,s:I,s:b,s:i,s:i,s:I}", "node",
                     s->node, "domain", s->domain, "role", s->role, "address",
                     s->rpc, "revision", (json_int_t)s->revision, "epoch",
                     (json_int_t)s->epoch, "active", s->active, "cpu_permille",
                     (int)s->cpu_permille, "rss_kb", (int)s->rss_kb,
                     "net_bytes", (json_int_t)s->net_bytes));
    }
  pthread_mutex_unlock (&nodes_lock);
  return out;
}

int
nodes_serve (admin_t *a)
{
  a->rpc = rpcd_new (a->settings.admin_rpc, procs, a);
  return a->rpc ? 0 : -1;
}
