/*
 * record.c -- the configuration record as an administration daemon keeps it
 *
 * The record is watched in the key-value service, one waiting call a VM.  A
 * record seen there or at a peer is adopted if its revision is higher than
 * the one held, never otherwise; so a domain that is cut off from the
 * service follows through its peers, and nobody goes back.
 */
#include "adminint.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "logs.h"

#define WATCH_MS 20000
#define GOSSIP_MS 2000
/* A watch that ends sooner than this is not repeated at once. */
#define WATCH_LEAST_MS 100
#define WATCH_PAUSE_MS 500

/* Adopt a record if it is later than ours. */
static void
adopt (admin_t *a, const char *text, size_t len)
{
  conf_doc_t doc = { 0 };

  if (conf_doc_load (&doc, text, len))
    return;
  pthread_mutex_lock (&a->lock);
  if (doc.revision > a->doc.revision)
    {
      conf_doc_free (&a->doc);
      a->doc = doc;
      free (a->text);
      a->text = strndup (text, len);
      log_info ("configuration revision %llu",
                (unsigned long long)doc.revision);
    }
  else
    conf_doc_free (&doc);
  pthread_mutex_unlock (&a->lock);
}

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t cond;
  int done;
  gl_store_status_t status;
  uint64_t index;
  char *data;
  size_t len;
} wait_t;

static void
store_done (void *ctx, uint32_t tag, gl_store_status_t status, uint64_t index,
            const char *data, size_t len)
{
  wait_t *w = ctx;

  (void)tag;
  pthread_mutex_lock (&w->lock);
  w->status = status;
  w->index = index;
  w->data = data ? strndup (data, len) : NULL;
  w->len = data ? len : 0;
  w->done = 1;
  pthread_cond_signal (&w->cond);
  pthread_mutex_unlock (&w->lock);
}

static void
wait_done (wait_t *w)
{
  pthread_mutex_lock (&w->lock);
  while (!w->done)
    pthread_cond_wait (&w->cond, &w->lock);
  pthread_mutex_unlock (&w->lock);
}

/* Read the record; with @index not 0, wait for another one. */
static gl_store_status_t
read_record (admin_t *a, uint64_t index, wait_t *w)
{
  *w = (wait_t){ .lock = PTHREAD_MUTEX_INITIALIZER,
                 .cond = PTHREAD_COND_INITIALIZER };
  a->store.get (a->store.ctx, CONF_KEY, index, WATCH_MS, 0, store_done, w);
  wait_done (w);
  if (w->status == GL_ST_OK)
    adopt (a, w->data ? w->data : "", w->len);
  return w->status;
}

static void
nap (admin_t *a, gl_ms_t span)
{
  for (gl_ms_t t = 0; t < span && !ck_pr_load_uint (&a->quit); t += 50)
    usleep (50000);
}

static void *
watch (void *ctx)
{
  admin_t *a = ctx;
  uint64_t index = 0;

  while (!ck_pr_load_uint (&a->quit))
    {
      wait_t w;
      gl_ms_t began = clock_ms ();

      if (read_record (a, index, &w) == GL_ST_OK)
        index = w.index;
      free (w.data);
      if (clock_ms () < began + WATCH_LEAST_MS)
        nap (a, WATCH_PAUSE_MS);
    }
  return NULL;
}

/* Ask one peer at a time, so that a cut from the service is bridged. */
static void *
gossip (void *ctx)
{
  admin_t *a = ctx;
  const settings_t *s = &a->settings;
  unsigned int next = (unsigned int)getpid ();
  rpcc_t r = { 0 };

  while (!ck_pr_load_uint (&a->quit))
    {
      gl_conf_ask_t in = { 0 };
      gl_conf_reply_t out = { 0 };

      nap (a, GOSSIP_MS);
      if (!s->npeers)
        continue;
      pthread_mutex_lock (&a->lock);
      in.known_revision = a->doc.revision;
      nodes_own (a, &in.from);
      pthread_mutex_unlock (&a->lock);
      if (!rpcc_call (&r, s->peers[next++ % (unsigned int)s->npeers], GL_CONF,
                      (xdrproc_t)xdr_gl_conf_ask_t, &in,
                      (xdrproc_t)xdr_gl_conf_reply_t, &out, RPC_MS)
          && out.text && *out.text)
        adopt (a, out.text, strlen (out.text));
      xdr_free ((xdrproc_t)xdr_gl_conf_ask_t, (void *)&in);
      xdr_free ((xdrproc_t)xdr_gl_conf_reply_t, (void *)&out);
      a->rpc_bytes = r.bytes;
      /* Each round goes to another peer. */
      rpcc_close (&r);
    }
  rpcc_close (&r);
  return NULL;
}

/* One write of the record. */
static gl_store_status_t
write_record (admin_t *a, uint64_t index, const char *record)
{
  wait_t w = { .lock = PTHREAD_MUTEX_INITIALIZER,
               .cond = PTHREAD_COND_INITIALIZER };

  a->store.cas (a->store.ctx, CONF_KEY, index, record, strlen (record), 0, 0,
                store_done, &w);
  wait_done (&w);
  free (w.data);
  if (w.status == GL_ST_OK)
    adopt (a, record, strlen (record));
  return w.status;
}

static uint64_t
change_number (const change_t *c)
{
  struct
  {
    gl_ms_t now;
    pid_t pid;
    const void *where;
    const void *stack;
  } salt = { clock_ms (), getpid (), c->text, c };

  return (XXH3_64bits (&salt, sizeof salt) >> 16) + 1;
}

/* Carry a change out, one store operation after the other. */
void
record_run (admin_t *a, change_t *c)
{
  change_op_t op = CHANGE_GET;

  c->id = change_number (c);
  while (op != CHANGE_DONE)
    {
      wait_t w = { 0 };
      gl_store_status_t st;

      if (op == CHANGE_PUT)
        st = write_record (a, c->index, c->record);
      else
        st = read_record (a, 0, &w);
      op = change_store_done (c, op, st, w.index, w.data ? w.data : "", w.len);
      free (w.data);
    }
  change_free (c);
}

int
record_start (admin_t *a)
{
  pthread_t t;

  if (conf_doc_load (&a->doc, "", 0) || pthread_create (&t, NULL, watch, a)
      || pthread_detach (t) || pthread_create (&t, NULL, gossip, a)
      || pthread_detach (t))
    return -1;
  return 0;
}
