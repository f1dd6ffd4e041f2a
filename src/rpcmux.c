/*
 * rpcmux.c -- non-blocking ONC RPC (RFC 5531) over TCP on the control thread
 *
 * The client of libtirpc blocks during each call, so this module does the
 * socket I/O itself and uses the library only to encode and decode messages.
 * All calls to a peer share one connection; replies are matched to calls by
 * transaction id and may arrive in any order.  Nothing blocks: bytes that the
 * socket does not take are buffered, and calls to a peer that does not read
 * them fail once more than OUT_MAX bytes are buffered.
 *
 * Whoever reaches the port may connect and send, so what is held for accepted
 * connections is bounded in sum and in time: received bytes of incomplete
 * records and unsent replies by a share of the machine's memory, an incomplete
 * record by a time.  When there is no room, the accepted connection goes
 * that has been silent the longest; other VMs send heartbeats all the time.
 *
 * When a call times out on a connection on which nothing was received for
 * SILENT_MS, the connection is closed, since either end may have lost it
 * without notice to the other.
 */
#include "rpcmux.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec.h"
#include "httpd.h"
#include "logs.h"

/* Program of the calls between the VMs of the cell. */
#define PROGRAM 0x20047a12
#define VERSION 1
/* Most connections, accepted ones included. */
#define CONNS_MAX 512
/* Longest record to receive, in bytes. */
#define RECORD_MAX 2097152
/* Unsent bytes of a connection above which calls on it fail. */
#define OUT_MAX 4194304
#define LISTEN_BACKLOG 64
/* Buffers above this size are freed when they are empty. */
#define BUFFER_KEPT 65536
/* Least time between two log lines about connections that were closed. */
#define LOG_MS 1000
/* How long the kernel waits for the acknowledgement of sent data. */
#define USER_TIMEOUT_MS 1500
#define CONNECT_TIMEOUT_MS 400
/* A connection is closed when a call on it times out and nothing was received
   on it for longer than this. */
#define SILENT_MS 600
/* Upper bound on the RPC header of a call or of a reply, in bytes. */
#define HEADER_MAX 128
/* Record marking: flag of a record's last fragment. */
#define LAST_FRAGMENT 0x80000000u

/** struct buf_t - growable byte buffer */
typedef struct
{
  char *data;
  size_t len;
  size_t cap;
} buf_t;

/**
 * struct conn_t - one connection
 * @fd: its non-blocking socket
 * @id: unique in the mux
 * @outgoing: this side connected; calls go out on such connections only
 * @connecting: the connect has not finished
 * @want_write: EPOLLOUT is requested
 * @opened: when it was created, in ms
 * @last_received: when data came last, or the connect finished, in ms
 * @peer: "IP:port" that this side connected to, or that
 * rpcmux_set_peer_addr gave; may be empty on accepted connections
 * @incomplete_since: when the first byte of the incomplete record in @in came,
 * or the first unsent one was added to @out, in ms; 0 for neither
 * @in: received bytes of incomplete records
 * @out: bytes that are not sent yet
 */
typedef struct
{
  int fd;
  uint32_t id;
  int outgoing;
  int connecting;
  int want_write;
  gl_ms_t opened;
  gl_ms_t last_received;
  char peer[64];
  gl_ms_t incomplete_since;
  buf_t in;
  buf_t out;
} conn_t;

/**
 * struct pending_call_t - a sent call that has no reply yet
 * @xid: transaction id
 * @conn: id of its connection
 * @proc, @tag: as given to rpcmux_call
 * @deadline: when it times out, in ms
 */
typedef struct
{
  uint32_t xid;
  uint32_t conn;
  uint32_t proc;
  uint64_t tag;
  gl_ms_t deadline;
} pending_call_t;

/**
 * struct rpcmux - state of a mux
 * @loop: event loop of the control thread, which watches the sockets
 * @listener: listening socket
 * @conns: the connections; unused entries are NULL
 * @last_id, @last_xid: connection id and transaction id used last
 * @naccepted: accepted connections
 * @limits: bounds on accepted connections
 * @counts, @logged, @logged_at: connections closed for others or for their
 * silence, also at the time of the last log line, and that time
 * @calls: pending calls, in no order
 */
struct rpcmux
{
  loop_t *loop;
  rpcmux_hooks_t hooks;
  int listener;
  conn_t *conns[CONNS_MAX];
  uint32_t last_id;
  uint32_t last_xid;
  int naccepted;
  rpcmux_limits_t limits;
  rpcmux_counts_t counts;
  rpcmux_counts_t logged;
  gl_ms_t logged_at;
  pending_call_t *calls;
  size_t ncalls;
  size_t capcalls;
};

static void on_conn_event (void *ctx, int fd, uint32_t events);
static conn_t *conn_open (rpcmux_t *m, const char *addr);

/* 0, or -1 when out of memory. */
static int
buf_add (buf_t *b, const void *data, size_t len)
{
  if (b->len + len > b->cap)
    {
      size_t cap = (b->len + len) * 2 + 256;
      char *grown = realloc (b->data, cap);

      if (!grown)
        return -1;
      b->data = grown;
      b->cap = cap;
    }
  memcpy (b->data + b->len, data, len);
  b->len += len;
  return 0;
}

/* Removes the first @n bytes. */
static void
buf_consume (buf_t *b, size_t n)
{
  memmove (b->data, b->data + n, b->len - n);
  b->len -= n;
  if (b->len || b->cap <= BUFFER_KEPT)
    return;
  free (b->data);
  memset (b, 0, sizeof *b);
}

/* ---- connections ---- */

static conn_t *
conn_add (rpcmux_t *m, int fd)
{
  conn_t *c;
  int one = 1;
  int bound = USER_TIMEOUT_MS;

  for (int i = 0; i < CONNS_MAX; i++)
    {
      if (m->conns[i])
        continue;
      c = calloc (1, sizeof *c);
      if (!c)
        return NULL;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &bound, sizeof bound);
      c->fd = fd;
      c->id = ++m->last_id;
      c->opened = c->last_received = clock_ms ();
      m->conns[i] = c;
      return c;
    }
  return NULL;
}

static conn_t *
conn_by_id (rpcmux_t *m, uint32_t id)
{
  for (int i = 0; i < CONNS_MAX; i++)
    if (m->conns[i] && m->conns[i]->id == id)
      return m->conns[i];
  return NULL;
}

/* Removes call number @i and reports how it ended. */
static void
end_call (rpcmux_t *m, size_t i, gl_code_t code, const char *data, size_t len)
{
  pending_call_t w = m->calls[i];

  m->calls[i] = m->calls[--m->ncalls];
  m->hooks.done (m->hooks.ctx, w.tag, w.proc, code, data, len);
}

/* Ends the connection's calls with @code and frees it. */
static void
conn_close (rpcmux_t *m, conn_t *c, gl_code_t code)
{
  uint32_t id = c->id;
  char peer[sizeof c->peer];
  int probe = !c->outgoing && c->peer[0];

  memcpy (peer, c->peer, sizeof peer);
  for (int i = 0; i < CONNS_MAX; i++)
    if (m->conns[i] == c)
      m->conns[i] = NULL;
  m->naccepted -= c->outgoing ? 0 : 1;
  loop_watch (m->loop, c->fd, 0, NULL, NULL);
  close (c->fd);
  free (c->in.data);
  free (c->out.data);
  free (c);
  for (size_t i = m->ncalls; i-- > 0;)
    if (i < m->ncalls && m->calls[i].conn == id)
      end_call (m, i, code, NULL, 0);
  /* The connect succeeds or is refused, which shows whether the peer's process
     still runs. */
  if (probe)
    conn_open (m, peer);
}

/* ---- bounds on accepted connections ---- */

static size_t
bytes_held (const rpcmux_t *m)
{
  size_t n = 0;

  for (int i = 0; i < CONNS_MAX; i++)
    if (m->conns[i] && !m->conns[i]->outgoing)
      n += m->conns[i]->in.cap + m->conns[i]->out.cap;
  return n;
}

/* Closes the accepted connection other than @keep that has been silent the
   longest; @holding: of those with an incomplete record.  0, or -1 if there is
   none. */
static int
evict (rpcmux_t *m, const conn_t *keep, int holding)
{
  conn_t *found = NULL;

  for (int i = 0; i < CONNS_MAX; i++)
    {
      conn_t *c = m->conns[i];

      if (c && !c->outgoing && c != keep && (!holding || c->incomplete_since)
          && (!found || c->last_received < found->last_received))
        found = c;
    }
  if (!found)
    return -1;
  m->counts.evicted++;
  /* Its end says nothing about a peer. */
  found->peer[0] = 0;
  conn_close (m, found, GL_UNKNOWN);
  return 0;
}

static void
bound_buffers (rpcmux_t *m, const conn_t *keep)
{
  while (bytes_held (m) > m->limits.held_max && !evict (m, keep, 1))
    ;
}

/* Accepted connections with an incomplete record, or with replies that their
   peer does not read. */
static void
note_progress (conn_t *c)
{
  if (!c->in.len && !c->out.len)
    c->incomplete_since = 0;
  else if (!c->incomplete_since)
    c->incomplete_since = clock_ms ();
}

static void
conn_set_events (rpcmux_t *m, conn_t *c, int write)
{
  c->want_write = write;
  loop_watch (m->loop, c->fd, EPOLLIN | (write ? EPOLLOUT : 0), on_conn_event,
              m);
}

/* The outgoing connection to @addr, which is opened if there is none; NULL
   when that fails at once. */
static conn_t *
conn_open (rpcmux_t *m, const char *addr)
{
  struct sockaddr_in sa;
  conn_t *c;
  int fd;

  for (int i = 0; i < CONNS_MAX; i++)
    if (m->conns[i] && m->conns[i]->outgoing
        && !strcmp (m->conns[i]->peer, addr))
      return m->conns[i];
  if (split_addr (addr, &sa))
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  c = conn_add (m, fd);
  if (!c)
    {
      close (fd);
      return NULL;
    }
  c->outgoing = 1;
  snprintf (c->peer, sizeof c->peer, "%s", addr);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) && errno != EINPROGRESS)
    {
      conn_close (m, c, GL_RETRY);
      m->hooks.down (m->hooks.ctx, addr);
      return NULL;
    }
  c->connecting = 1;
  conn_set_events (m, c, 1);
  return c;
}

static void
conn_flush (rpcmux_t *m, conn_t *c)
{
  ssize_t n;

  if (c->connecting || !c->out.len)
    return;
  n = send (c->fd, c->out.data, c->out.len, MSG_NOSIGNAL);
  if (n > 0)
    {
      buf_consume (&c->out, (size_t)n);
      c->incomplete_since = 0;
    }
  note_progress (c);
  if (!!c->out.len != c->want_write)
    conn_set_events (m, c, !!c->out.len);
}

/* ---- messages ---- */

/* Writes the record mark of a record of @len bytes. */
static void
put_record_mark (char *at, size_t len)
{
  uint32_t mark = htonl ((uint32_t)len | LAST_FRAGMENT);

  memcpy (at, &mark, sizeof mark);
}

/* Appends an encoded call to the connection's output; 0, or -1. */
static int
append_call (conn_t *c, uint32_t xid, uint32_t proc, xdrproc_t in_proc,
             const void *in)
{
  size_t room = HEADER_MAX + xdr_sizeof (in_proc, (void *)in);
  char *data = malloc (room + sizeof (uint32_t));
  struct rpc_msg msg;
  XDR x;
  size_t len;
  int rc = -1;

  if (!data)
    return -1;
  memset (&msg, 0, sizeof msg);
  msg.rm_xid = xid;
  msg.rm_direction = CALL;
  msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  msg.rm_call.cb_prog = PROGRAM;
  msg.rm_call.cb_vers = VERSION;
  msg.rm_call.cb_proc = proc;
  msg.rm_call.cb_cred = _null_auth;
  msg.rm_call.cb_verf = _null_auth;
  xdrmem_create (&x, data + sizeof (uint32_t), (u_int)room, XDR_ENCODE);
  if (xdr_callmsg (&x, &msg) && in_proc (&x, (void *)in))
    {
      len = xdr_getpos (&x);
      put_record_mark (data, len);
      rc = buf_add (&c->out, data, len + sizeof (uint32_t));
    }
  xdr_destroy (&x);
  free (data);
  return rc;
}

void
rpcmux_call (rpcmux_t *m, const char *addr, uint32_t proc, xdrproc_t in_proc,
             const void *in, gl_ms_t timeout, uint64_t tag)
{
  conn_t *c = conn_open (m, addr);
  pending_call_t *w;

  if (m->ncalls == m->capcalls)
    {
      size_t cap = m->capcalls ? 2 * m->capcalls : 64;
      pending_call_t *v = realloc (m->calls, cap * sizeof *v);

      if (v)
        {
          m->calls = v;
          m->capcalls = cap;
        }
      else
        c = NULL;
    }
  if (!c || c->out.len > OUT_MAX
      || append_call (c, ++m->last_xid, proc, in_proc, in))
    {
      m->hooks.done (m->hooks.ctx, tag, proc, GL_RETRY, NULL, 0);
      return;
    }
  w = &m->calls[m->ncalls++];
  *w = (pending_call_t){ m->last_xid, c->id, proc, tag,
                         clock_ms () + timeout };
  conn_flush (m, c);
}

/* Sets up an accepted reply without a result. */
static void
reply_init (struct rpc_msg *msg, uint32_t xid)
{
  memset (msg, 0, sizeof *msg);
  msg->rm_xid = xid;
  msg->rm_direction = REPLY;
  msg->rm_reply.rp_stat = MSG_ACCEPTED;
  msg->acpted_rply.ar_verf = _null_auth;
  msg->acpted_rply.ar_results.proc = (xdrproc_t)(void (*) (void))xdr_void;
}

void
rpcmux_reply (rpcmux_t *m, rpcmux_caller_t from, xdrproc_t proc,
              const void *out)
{
  conn_t *c = conn_by_id (m, from.conn);
  uint32_t id = from.conn;
  size_t room = HEADER_MAX + (proc ? xdr_sizeof (proc, (void *)out) : 0);
  char *data = c ? malloc (room + sizeof (uint32_t)) : NULL;
  struct rpc_msg msg;
  XDR x;

  if (!data)
    return;
  reply_init (&msg, from.xid);
  msg.acpted_rply.ar_stat = proc ? SUCCESS : SYSTEM_ERR;
  if (proc)
    {
      msg.acpted_rply.ar_results.proc = proc;
      msg.acpted_rply.ar_results.where = (char *)out;
    }
  xdrmem_create (&x, data + sizeof (uint32_t), (u_int)room, XDR_ENCODE);
  if (xdr_replymsg (&x, &msg))
    {
      size_t len = xdr_getpos (&x);

      put_record_mark (data, len);
      if (c->out.len <= OUT_MAX
          && !buf_add (&c->out, data, len + sizeof (uint32_t)))
        conn_flush (m, c);
    }
  xdr_destroy (&x);
  free (data);
  if ((c = conn_by_id (m, id)))
    bound_buffers (m, c);
}

void
rpcmux_set_peer_addr (rpcmux_t *m, rpcmux_caller_t from, const char *addr)
{
  conn_t *c = conn_by_id (m, from.conn);

  if (c && !c->outgoing)
    snprintf (c->peer, sizeof c->peer, "%s", addr);
}

static void
handle_call (rpcmux_t *m, uint32_t conn, char *data, size_t len)
{
  struct rpc_msg msg;
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  XDR x;
  u_int at;

  memset (&msg, 0, sizeof msg);
  msg.rm_call.cb_cred.oa_base = cred;
  msg.rm_call.cb_verf.oa_base = verf;
  xdrmem_create (&x, data, (u_int)len, XDR_DECODE);
  if (xdr_callmsg (&x, &msg) && msg.rm_call.cb_prog == PROGRAM)
    {
      at = xdr_getpos (&x);
      m->hooks.serve (m->hooks.ctx, (rpcmux_caller_t){ conn, msg.rm_xid },
                      msg.rm_call.cb_proc, data + at, len - at);
    }
  xdr_destroy (&x);
}

static void
handle_reply (rpcmux_t *m, char *data, size_t len)
{
  struct rpc_msg msg;
  char verf[MAX_AUTH_BYTES];
  XDR x;
  u_int at;
  int ok;

  reply_init (&msg, 0);
  msg.acpted_rply.ar_verf.oa_base = verf;
  xdrmem_create (&x, data, (u_int)len, XDR_DECODE);
  ok = xdr_replymsg (&x, &msg) && msg.rm_reply.rp_stat == MSG_ACCEPTED
       && msg.acpted_rply.ar_stat == SUCCESS;
  at = xdr_getpos (&x);
  xdr_destroy (&x);
  for (size_t i = 0; i < m->ncalls; i++)
    if (m->calls[i].xid == msg.rm_xid)
      {
        end_call (m, i, ok ? GL_OK : GL_UNKNOWN, data + at, len - at);
        return;
      }
}

/* Handles the complete records in the buffer; -1 when the connection has to be
   closed.  The handlers may close it, so the loop finds it again by its id. */
static int
handle_records (rpcmux_t *m, uint32_t id)
{
  conn_t *c;

  while ((c = conn_by_id (m, id)) && c->in.len >= sizeof (uint32_t))
    {
      uint32_t mark;
      size_t len;
      char *data;

      memcpy (&mark, c->in.data, sizeof mark);
      mark = ntohl (mark);
      len = mark & ~LAST_FRAGMENT;
      /* Only single-fragment records; xid and direction take 8 bytes. */
      if (!(mark & LAST_FRAGMENT) || len < 8 || len > RECORD_MAX)
        return -1;
      if (c->in.len < len + sizeof mark)
        return 0;
      data = malloc (len);
      if (!data)
        return -1;
      memcpy (data, c->in.data + sizeof mark, len);
      buf_consume (&c->in, len + sizeof mark);
      c->incomplete_since = 0;
      if (ntohl (((uint32_t *)(void *)data)[1]) == CALL)
        handle_call (m, id, data, len);
      else
        handle_reply (m, data, len);
      free (data);
    }
  return 0;
}

/* ---- socket events ---- */

/* 0 when connected; else -1, and the connection is freed. */
static int
finish_connect (rpcmux_t *m, conn_t *c)
{
  int err = 0;
  socklen_t len = sizeof err;
  char peer[sizeof c->peer];

  if (getsockopt (c->fd, SOL_SOCKET, SO_ERROR, &err, &len) || err)
    {
      memcpy (peer, c->peer, sizeof peer);
      conn_close (m, c, GL_RETRY);
      if (err == ECONNREFUSED || err == ECONNRESET)
        m->hooks.down (m->hooks.ctx, peer);
      return -1;
    }
  c->connecting = 0;
  c->last_received = clock_ms ();
  conn_flush (m, c);
  if (!c->out.len)
    conn_set_events (m, c, 0);
  return 0;
}

static void
on_conn_event (void *ctx, int fd, uint32_t events)
{
  rpcmux_t *m = ctx;
  char data[16384];
  conn_t *c = NULL;
  ssize_t n;
  uint32_t id;

  for (int i = 0; i < CONNS_MAX; i++)
    if (m->conns[i] && m->conns[i]->fd == fd)
      c = m->conns[i];
  if (!c || (c->connecting && finish_connect (m, c)))
    return;
  if (events & EPOLLOUT)
    conn_flush (m, c);
  if (!(events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
    return;
  n = recv (fd, data, sizeof data, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  id = c->id;
  if (n <= 0 || buf_add (&c->in, data, (size_t)n))
    {
      conn_close (m, c, GL_UNKNOWN);
      return;
    }
  c->last_received = clock_ms ();
  if (handle_records (m, id) && (c = conn_by_id (m, id)))
    conn_close (m, c, GL_UNKNOWN);
  else if ((c = conn_by_id (m, id)) && !c->outgoing)
    {
      note_progress (c);
      bound_buffers (m, c);
    }
}

static void
on_accept (void *ctx, int fd, uint32_t events)
{
  rpcmux_t *m = ctx;
  int s = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  conn_t *c;

  (void)events;
  if (s >= 0 && m->naccepted >= m->limits.accepted_max)
    evict (m, NULL, 0);
  c = s < 0 ? NULL : conn_add (m, s);
  if (c)
    {
      m->naccepted++;
      conn_set_events (m, c, 0);
    }
  else if (s >= 0)
    close (s);
}

/* ---- interface ---- */

static int
listen_on (const char *addr)
{
  struct sockaddr_in sa;
  int one = 1;
  int fd;

  if (split_addr (addr, &sa))
    return -1;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa)
      || listen (fd, LISTEN_BACKLOG))
    {
      close (fd);
      return -1;
    }
  return fd;
}

rpcmux_t *
rpcmux_new (loop_t *loop, const char *addr, const rpcmux_limits_t *limits,
            const rpcmux_hooks_t *hooks)
{
  rpcmux_t *m = calloc (1, sizeof *m);

  if (!m)
    return NULL;
  m->loop = loop;
  m->hooks = *hooks;
  m->limits = *limits;
  m->last_xid = (uint32_t)clock_ms ();
  m->listener = listen_on (addr);
  if (m->listener < 0 || loop_watch (loop, m->listener, EPOLLIN, on_accept, m))
    {
      if (m->listener >= 0)
        close (m->listener);
      free (m);
      return NULL;
    }
  return m;
}

void
rpcmux_free (rpcmux_t *m)
{
  if (!m)
    return;
  for (int i = 0; i < CONNS_MAX; i++)
    if (m->conns[i])
      {
        m->conns[i]->peer[0] = 0;
        conn_close (m, m->conns[i], GL_UNKNOWN);
      }
  loop_watch (m->loop, m->listener, 0, NULL, NULL);
  close (m->listener);
  free (m->calls);
  free (m);
}

/* When an accepted connection is closed for an incomplete record or unread
   replies; UINT64_MAX for never. */
static gl_ms_t
overdue_at (const rpcmux_t *m, const conn_t *c)
{
  return c->outgoing || !c->incomplete_since
             ? UINT64_MAX
             : c->incomplete_since + m->limits.record_ms;
}

static void
log_counts (rpcmux_t *m, gl_ms_t now)
{
  if (!memcmp (&m->counts, &m->logged, sizeof m->counts)
      || now < m->logged_at + LOG_MS)
    return;
  log_info ("rpc_connections_closed evicted=%lu incomplete=%lu accepted=%d "
            "held=%zu",
            m->counts.evicted, m->counts.incomplete, m->naccepted,
            bytes_held (m));
  m->logged = m->counts;
  m->logged_at = now;
}

void
rpcmux_metrics (const rpcmux_t *m, text_t *t)
{
  text_add (t,
            "rpc_connections_accepted %d\nrpc_buffered_bytes %zu\n"
            "rpc_connections_evicted %lu\nrpc_records_incomplete %lu\n",
            m->naccepted, bytes_held (m), m->counts.evicted,
            m->counts.incomplete);
}

gl_ms_t
rpcmux_due (const rpcmux_t *m)
{
  gl_ms_t due = UINT64_MAX;

  for (size_t i = 0; i < m->ncalls; i++)
    if (m->calls[i].deadline < due)
      due = m->calls[i].deadline;
  for (int i = 0; i < CONNS_MAX; i++)
    if (m->conns[i] && m->conns[i]->connecting
        && m->conns[i]->opened + CONNECT_TIMEOUT_MS < due)
      due = m->conns[i]->opened + CONNECT_TIMEOUT_MS;
    else if (m->conns[i] && overdue_at (m, m->conns[i]) < due)
      due = overdue_at (m, m->conns[i]);
  return due;
}

void
rpcmux_tick (rpcmux_t *m)
{
  gl_ms_t now = clock_ms ();

  for (int i = 0; i < CONNS_MAX; i++)
    if (m->conns[i] && m->conns[i]->connecting
        && m->conns[i]->opened + CONNECT_TIMEOUT_MS <= now)
      conn_close (m, m->conns[i], GL_RETRY);
    else if (m->conns[i] && overdue_at (m, m->conns[i]) <= now)
      {
        m->counts.incomplete++;
        m->conns[i]->peer[0] = 0;
        conn_close (m, m->conns[i], GL_UNKNOWN);
      }
  log_counts (m, now);
  for (size_t i = m->ncalls; i-- > 0;)
    {
      conn_t *c;

      if (i >= m->ncalls || m->calls[i].deadline > now)
        continue;
      c = conn_by_id (m, m->calls[i].conn);
      if (c && now - c->last_received > SILENT_MS)
        conn_close (m, c, GL_UNKNOWN);
      else
        end_call (m, i, GL_UNKNOWN, NULL, 0);
    }
}
