/* calls.h -- HTTP client for many small calls to many hosts */
#ifndef GL_CALLS_H
#define GL_CALLS_H

#include "httpc.h"
#include "metrics.h"

/** struct calls - a client: a thread, its connections and its open calls */
typedef struct calls calls_t;

/**
 * calls_new - start a client with a thread of its own; NULL on failure
 * @max_conns_per_host: most connections to one host; further calls to it wait
 *   until a connection is free
 */
calls_t *calls_new (int max_conns_per_host);
/**
 * calls_free - stop the thread and release the client; NULL is allowed
 *
 * Every open call ends without a response.
 */
void calls_free (calls_t *c);
/**
 * calls_send - queue a call; any thread
 * @addr: "IP:port"
 * @path: path with its query
 * @r: method, headers, body, len, timeout, not_before, fresh_conn, done and
 *   ctx are used; all of it is copied; a method other than "POST" and
 *   "DELETE" is sent as GET
 *
 * A call is sent at most once.  When its timeout expires while the response
 * is still arriving, the timeout starts again, up to 20 times.  The time
 * spent waiting for a connection counts towards the timeout.
 *
 * Returns 0, or -1 when the call cannot be queued; r->done is then not
 * called.
 */
int calls_send (calls_t *c, const char *addr, const char *path,
                const httpc_request_t *r);

/** calls_metrics - append calls and bytes by kind of call, the first part of
    the path; bytes in are those of response bodies; any thread */
void calls_metrics (const calls_t *c, text_t *t);

/** calls_retire_conns - let no call sent from now on use a connection that
    was opened before; any thread */
void calls_retire_conns (calls_t *c);

#endif
