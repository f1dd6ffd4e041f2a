/* calls.h -- HTTP client for many small calls to many hosts */
#ifndef GL_CALLS_H
#define GL_CALLS_H

#include "httpc.h"

typedef struct calls calls_t;

/**
 * calls_new - start a client with a thread of its own; NULL on failure
 * @max_conns_per_host: connections to one host at most; further calls wait for
 * one
 */
calls_t *calls_new (int max_conns_per_host);
/** calls_free - end it; open calls end as HTTPC_UNKNOWN */
void calls_free (calls_t *c);
/**
 * calls_send - queue a call to @path at @addr, "IP:PORT"
 * @r: method, headers, body, timeout, not_before, fresh, done and ctx are
 *   used; all of it is copied
 *
 * A call is sent once at most.  Its timeout begins anew while its answer is
 * arriving, some times.  Returns -1, and calls nobody, when it cannot
 * be queued.
 */
int calls_send (calls_t *c, const char *addr, const char *path,
                const httpc_request_t *r);

/** calls_retire_conns - let no call begun from now on reuse older connections
 */
void calls_retire_conns (calls_t *c);

#endif
