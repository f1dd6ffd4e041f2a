/* httpdint.h -- state of the HTTP server, private to httpd.c and httpconn.c */
#ifndef GL_HTTPDINT_H
#define GL_HTTPDINT_H

#include <microhttpd.h>
#include <pthread.h>
#include <sys/queue.h>

#include "httpd.h"
#include "loop.h"

/**
 * enum stage_t - what a connection waits for
 * @STAGE_IDLE: a request line
 * @STAGE_HEADER: the rest of a header
 * @STAGE_BODY: the rest of a body
 * @STAGE_RUNNING: the callback's response
 * @STAGE_REPLYING: the client, which takes the response
 */
typedef enum
{
  STAGE_IDLE,
  STAGE_HEADER,
  STAGE_BODY,
  STAGE_RUNNING,
  STAGE_REPLYING
} stage_t;

/**
 * struct conn_t - an open connection; the library's socket context
 * @accepted_at: when it was accepted, in ms of clock_ms
 * @fd: its socket, which stays open while the connection is listed
 * @requests: requests begun and not completed, 0 or 1
 * @ended: no more is read from it; requests that were are refused
 * @cut: it was shut down for what its client did; nothing more is run
 * @stage, @stage_at: what it waits for, and since when
 * @moved_at: when a part of a body came last
 * @call: the request whose body arrives, else NULL
 * @link: place in the server's list
 */
typedef struct conn
{
  unsigned long long accepted_at;
  int fd;
  unsigned int requests;
  int ended;
  int cut;
  stage_t stage;
  gl_ms_t stage_at;
  gl_ms_t moved_at;
  httpd_call_t *call;
  LIST_ENTRY (conn) link;
} conn_t;

/**
 * struct httpd - a server
 * @mhd: the library's server
 * @fn, @ctx: callback for requests and its first argument
 * @limits: what clients are held to
 * @addr: where it listens
 * @blocking: one thread per connection; the callback replies before it returns
 * @silent: a descriptor that is never readable, which takes the place of the
 *   listening socket's at a stop; -1 when blocking
 * @open_requests: requests begun and not completed
 * @closing: httpd_set_closing or httpd_quiesce was called
 * @nconns: connections in @conns
 * @lock: protects the members that follow, and @requests and @ended of the
 *   connections
 * @conns: the open connections
 * @ncut: those of them that were cut
 * @counts: clients refused or cut, since the start and at the last log line
 * @left: connections that the library had not seen the end of
 * @logged, @logged_at: the counts at the last log line, and its time
 * @quiesced: httpd_quiesce was called
 * @freed: httpd_free was called
 * @sweeper, @wake: thread that checks connections, and what ends it
 */
struct httpd
{
  struct MHD_Daemon *mhd;
  httpd_fn_t fn;
  void *ctx;
  httpd_limits_t limits;
  char addr[64];
  int blocking;
  int silent;
  unsigned int open_requests;
  unsigned int closing;
  unsigned int nconns;
  pthread_mutex_t lock;
  LIST_HEAD (, conn) conns;
  unsigned int ncut;
  httpd_counts_t counts;
  unsigned long left;
  httpd_counts_t logged;
  gl_ms_t logged_at;
  int quiesced;
  int freed;
  pthread_t sweeper;
  pthread_cond_t wake;
};

/* Functions that say so are called with the server's lock held. */

/** conn_of - the connection's entry; NULL if there was no memory for it */
conn_t *conn_of (struct MHD_Connection *c);
/** conn_notify - callback of the library for each begin and end of a
    connection; @cls is the server */
void conn_notify (void *cls, struct MHD_Connection *c, void **socket_context,
                  enum MHD_ConnectionNotificationCode code);
/** conn_set_stage - the connection enters the stage now; lock held */
void conn_set_stage (conn_t *k, stage_t stage);
/** conn_end_if_idle - close the connection if it has no request, by a planned
    stop; lock held */
void conn_end_if_idle (conn_t *k);
/** conn_reserve - reserve @n bytes of the budget for a request; others whose
    bodies stand still give way.  0, or -1; lock held */
int conn_reserve (httpd_t *h, httpd_call_t *call, size_t n);
/** conn_release_body - free a request's body and return what was reserved */
void conn_release_body (httpd_call_t *call);
/** conn_sweep - body of the thread that closes connections whose clients take
    too long; @arg is the server */
void *conn_sweep (void *arg);

#endif
