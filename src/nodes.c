/*
 * nodes.c -- the daemons of this VM and of the others
 *
 * A daemon reports on itself when it asks for the configuration.  The other
 * VMs' administration daemons are asked when an operator wants to know.  The
 * owner of a domain is the active scheduler with the highest epoch; one that
 * has lost its domain and does not know it yet is outvoted by its successor.
 */
#include "adminint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A daemon that has not asked for this long counts as gone. */
#define LOCAL_STALE_MS 5000
/* What was asked for within this time is not asked for again. */
#define NODES_FRESH_MS 200

/* ---- statuses ---- */

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
nodes_own (admin_t *a, gl_status_t *s)
{
  memset (s, 0, sizeof *s);
  daemon_status (s, &a->settings, "admin");
  free (s->rpc);
  s->rpc = strdup (a->settings.admin_rpc);
  s->revision = a->doc.revision;
  s->net_bytes = httpc_bytes (a->http) + a->rpc_bytes;
}

static void
hear (admin_t *a, const gl_status_t *s)
{
  int i = 0;

  if (strcmp (s->node, a->settings.node))
    return;
  while (i < a->nlocals && strcmp (a->locals[i].status.role, s->role))
    i++;
  if (i == LOCALS_MAX)
    return;
  if (i == a->nlocals)
    a->nlocals++;
  status_copy (&a->locals[i].status, s);
  a->locals[i].heard = clock_ms ();
}

/* ---- RPC for daemons and peers ---- */

static int
rpc_conf (void *ctx, const void *in, void *out)
{
  admin_t *a = ctx;
  const gl_conf_ask_t *q = in;
  gl_conf_reply_t *t = out;

  pthread_mutex_lock (&a->lock);
  hear (a, &q->from);
  t->revision = a->doc.revision;
  t->text
      = strdup (a->text && q->known_revision < a->doc.revision ? a->text : "");
  pthread_mutex_unlock (&a->lock);
  return 0;
}

static int
rpc_nodes (void *ctx, const void *in, void *out)
{
  admin_t *a = ctx;
  gl_nodes_reply_t *t = out;

  (void)in;
  t->nodes.nodes_val = calloc (LOCALS_MAX + 1, sizeof (gl_status_t));
  if (!t->nodes.nodes_val)
    return -1;
  pthread_mutex_lock (&a->lock);
  nodes_own (a, &t->nodes.nodes_val[t->nodes.nodes_len++]);
  for (int i = 0; i < a->nlocals; i++)
    if (clock_ms () < a->locals[i].heard + LOCAL_STALE_MS)
      status_copy (&t->nodes.nodes_val[t->nodes.nodes_len++],
                   &a->locals[i].status);
  pthread_mutex_unlock (&a->lock);
  return 0;
}

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

/* ---- the other VMs ---- */

static void
add_nodes (admin_t *a, const gl_nodes_reply_t *t)
{
  for (u_int i = 0; i < t->nodes.nodes_len && a->nnodes < NODES_MAX; i++)
    {
      memset (&a->nodes[a->nnodes], 0, sizeof a->nodes[0]);
      status_copy (&a->nodes[a->nnodes++], &t->nodes.nodes_val[i]);
    }
}

static pthread_mutex_t nodes_lock = PTHREAD_MUTEX_INITIALIZER;

/* Ask every VM for its daemons, unless that was done just now. */
static void
refresh_nodes (admin_t *a)
{
  gl_nodes_reply_t t;

  if (a->nnodes && clock_ms () < a->nodes_at + NODES_FRESH_MS)
    return;
  for (int i = 0; i < a->nnodes; i++)
    xdr_free ((xdrproc_t)xdr_gl_status_t, (void *)&a->nodes[i]);
  a->nnodes = 0;
  memset (&t, 0, sizeof t);
  if (!rpc_nodes (a, NULL, &t))
    add_nodes (a, &t);
  xdr_free ((xdrproc_t)xdr_gl_nodes_reply_t, (void *)&t);
  for (int p = 0; p < a->settings.npeers; p++)
    {
      rpcc_t r = { 0 };

      memset (&t, 0, sizeof t);
      if (!rpcc_call (&r, a->settings.peers[p], GL_NODES, xdr_nothing, NULL,
                      (xdrproc_t)xdr_gl_nodes_reply_t, &t, RPC_MS / 2))
        add_nodes (a, &t);
      xdr_free ((xdrproc_t)xdr_gl_nodes_reply_t, (void *)&t);
      rpcc_close (&r);
    }
  a->nodes_at = clock_ms ();
}

/* The active schedulers, one a domain, the highest epoch winning. */
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
