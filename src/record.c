/*
 * record.c -- the configuration record as an administration daemon keeps it
 *
 * Each daemon watches the record in the key-value service with one long poll,
 * and polls its peers for it, one after the other.  A record from either
 * source is adopted only if its revision is higher than that of the record
 * held.  So a domain that is cut off from the service still receives changes
 * through its peers, and no daemon returns to an earlier revision.
 */
#include "adminint.h"

#include <ck_pr.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "logs.h"

/* How long the key-value service may hold a read open, milliseconds. */
#define WATCH_WAIT_MS 20000
/* Interval between two polls of a peer, milliseconds. */
#define PEER_POLL_MS 2000
/* If a watch ends within WATCH_MIN_MS, the next one starts WATCH_PAUSE_MS
   later, so that errors do not cause a busy loop; milliseconds. */
#define WATCH_MIN_MS 100
#define WATCH_PAUSE_MS 500

/* Adopt a record if its revision is higher than ours. */
static void
adopt_if_newer (admin_t *a, const char *text, size_t len)
{
  conf_doc_t doc = { 0 };

  if (conf_doc_load (&doc, text, len))
    return;
  pthread_mutex_lock (&a->lock);
  if (doc.revision > a->doc.revision)
    {
      conf_doc_free (&a->doc);
      a->doc = doc;
      free (a->doc_text);
      a->doc_text = strndup (text, len);
      log_info ("adopted configuration revision %llu",
                (unsigned long long)doc.revision);
    }
  else
    conf_doc_free (&doc);
  pthread_mutex_unlock (&a->lock);
}

/**
 * struct store_wait_t - result of a store call that this thread waits for
 * @done: the call has ended
 * @data: malloc'd copy of the value read
 */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t cond;
  int done;
  gl_store_status_t status;
  uint64_t index;
  char *data;
  size_t len;
} store_wait_t;

static void
on_store_done (void *ctx, uint32_t tag, gl_store_status_t status,
               uint64_t index, const char *data, size_t len)
{
  store_wait_t *w = ctx;

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
wait_for_store (store_wait_t *w)
{
  pthread_mutex_lock (&w->lock);
  while (!w->done)
    pthread_cond_wait (&w->cond, &w->lock);
  pthread_mutex_unlock (&w->lock);
}

/* Read the record and adopt it if it is newer; with @index not 0, wait up to
   WATCH_WAIT_MS for one with another store index.  The caller frees
   w->data. */
static gl_store_status_t
read_record (admin_t *a, uint64_t index, store_wait_t *w)
{
  *w = (store_wait_t){ .lock = PTHREAD_MUTEX_INITIALIZER,
                       .cond = PTHREAD_COND_INITIALIZER };
  a->store.get (a->store.ctx, CONF_KEY, index, WATCH_WAIT_MS, 0, on_store_done,
                w);
  wait_for_store (w);
  if (w->status == GL_ST_OK)
    adopt_if_newer (a, w->data ? w->data : "", w->len);
  return w->status;
}

/* Sleep for @span milliseconds, or until a stop is requested. */
static void
sleep_unless_stopping (admin_t *a, gl_ms_t span)
{
  for (gl_ms_t t = 0; t < span && !ck_pr_load_uint (&a->stopping); t += 50)
    usleep (50000);
}

/* Thread: watch the record in the key-value service. */
static void *
watch_record (void *ctx)
{
  admin_t *a = ctx;
  uint64_t index = 0;

  while (!ck_pr_load_uint (&a->stopping))
    {
      store_wait_t w;
      gl_ms_t started = clock_ms ();

      if (read_record (a, index, &w) == GL_ST_OK)
        index = w.index;
      free (w.data);
      if (clock_ms () < started + WATCH_MIN_MS)
        sleep_unless_stopping (a, WATCH_PAUSE_MS);
    }
  return NULL;
}

/* Thread: poll the peers for the record, one after the other, in case this VM
   is cut off from the key-value service. */
static void *
poll_peers (void *ctx)
{
  admin_t *a = ctx;
  const settings_t *s = &a->settings;
  unsigned int next = (unsigned int)getpid ();
  rpcc_t r = { 0 };

  while (!ck_pr_load_uint (&a->stopping))
    {
      gl_conf_ask_t in = { 0 };
      gl_conf_reply_t out = { 0 };

      sleep_unless_stopping (a, PEER_POLL_MS);
      if (!s->npeers)
        continue;
      pthread_mutex_lock (&a->lock);
      in.known_revision = a->doc.revision;
      nodes_own_status (a, &in.from);
      pthread_mutex_unlock (&a->lock);
      if (!rpcc_call (&r, s->peers[next++ % (unsigned int)s->npeers], GL_CONF,
                      (xdrproc_t)xdr_gl_conf_ask_t, &in,
                      (xdrproc_t)xdr_gl_conf_reply_t, &out,
                      PEER_RPC_TIMEOUT_MS)
          && out.text && *out.text)
        adopt_if_newer (a, out.text, strlen (out.text));
      xdr_free ((xdrproc_t)xdr_gl_conf_ask_t, (void *)&in);
      xdr_free ((xdrproc_t)xdr_gl_conf_reply_t, (void *)&out);
      a->rpc_bytes = r.bytes;
      /* The next round polls another peer. */
      rpcc_close (&r);
    }
  rpcc_close (&r);
  return NULL;
}

/* Write the record if its store index is @index, and adopt it on success. */
static gl_store_status_t
write_record (admin_t *a, uint64_t index, const char *record)
{
  store_wait_t w = { .lock = PTHREAD_MUTEX_INITIALIZER,
                     .cond = PTHREAD_COND_INITIALIZER };

  a->store.cas (a->store.ctx, CONF_KEY, index, record, strlen (record), 0, 0,
                on_store_done, &w);
  wait_for_store (&w);
  free (w.data);
  if (w.status == GL_ST_OK)
    adopt_if_newer (a, record, strlen (record));
  return w.status;
}

/* A number that no other change has, for its entry in the history. */
static uint64_t
change_number (const change_t *c)
{
  struct
  {
    gl_ms_t now;
    pid_t pid;
    const void *text;
    const void *change;
  } salt = { clock_ms (), getpid (), c->text, c };

  return (XXH3_64bits (&salt, sizeof salt) >> 16) + 1;
}

void
record_apply_change (admin_t *a, change_t *c)
{
  change_op_t op = CHANGE_GET;

  c->id = change_number (c);
  while (op != CHANGE_DONE)
    {
      store_wait_t w = { 0 };
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

  if (conf_doc_load (&a->doc, "", 0)
      || pthread_create (&t, NULL, watch_record, a) || pthread_detach (t)
      || pthread_create (&t, NULL, poll_peers, a) || pthread_detach (t))
    return -1;
  return 0;
}
