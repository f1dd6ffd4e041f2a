/* platform.h -- interfaces to the platform: key-value service, list of VMs,
   workers; and their implementations over HTTP */
#ifndef GL_PLATFORM_H
#define GL_PLATFORM_H

#include "gentianlatch.h"
#include "httpc.h"

/**
 * store_done_t - a call to the key-value service has ended
 * @tag: as given to the call
 * @index: index of the key: of the value read or written; 0 if unknown
 * @data, @len: the value, for a successful get, else NULL and 0; borrowed
 */
typedef void (*store_done_t) (void *ctx, uint32_t tag,
                              gl_store_status_t status, uint64_t index,
                              const char *data, size_t len);

/**
 * struct store_t - the key-value service
 * @ctx: first argument of the functions
 * @get: read @key; with @index not 0, wait up to @wait until the key has
 *   another index, and end with GL_ST_REFUSED if it still has that one
 * @cas: compare and swap: write @key if its index is @index, or, if that is 0,
 *   if the key is absent; with @ttl_s not 0 the key expires after that many
 *   seconds
 *
 * The index of a key changes with every write to it.  Each call ends with
 * exactly one call of @done, on any thread, possibly before the call returns.
 */
typedef struct
{
  void *ctx;
  void (*get) (void *ctx, const char *key, uint64_t index, gl_ms_t wait,
               uint32_t tag, store_done_t done, void *done_ctx);
  void (*cas) (void *ctx, const char *key, uint64_t index, const char *data,
               size_t len, unsigned int ttl_s, uint32_t tag, store_done_t done,
               void *done_ctx);
} store_t;

/** vmlist_done_t - a request for the list of VMs has ended; @vms has @n
    elements and is borrowed; NULL if no list arrived */
typedef void (*vmlist_done_t) (void *ctx, uint64_t index, const gl_vm_t *vms,
                               size_t n);

/**
 * struct vmlist_t - the platform's list of VMs, which may be out of date
 * @ctx: first argument of @watch
 * @watch: request the list of @domain; wait up to @wait for one whose index is
 *   not @index; ends with exactly one call of @done, on any thread, possibly
 *   before it returns
 */
typedef struct
{
  void *ctx;
  void (*watch) (void *ctx, const char *domain, uint64_t index, gl_ms_t wait,
                 vmlist_done_t done, void *done_ctx);
} vmlist_t;

/** worker_done_t - a call to a worker has ended; @worker and @call are as
    given to it; @reply is borrowed, and NULL without an answer */
typedef void (*worker_done_t) (void *ctx, uint32_t worker, uint32_t call,
                               gl_call_status_t status,
                               const gl_wreply_t *reply);

/**
 * struct worker_client_t - calls to workers
 * @ctx: first argument of @call
 * @call: send the encoded @msg to the URL prefix @addr, but not at or after
 *   the instant @send_before; ends with exactly one call of @done, on any
 *   thread, possibly before it returns
 */
typedef struct
{
  void *ctx;
  void (*call) (void *ctx, const char *addr, const char *msg, size_t len,
                gl_ms_t timeout, gl_ms_t send_before, uint32_t worker,
                uint32_t call, worker_done_t done, void *done_ctx);
} worker_client_t;

/** store_http_init - the key-value service over HTTP (storehttp.c); @url does
    not end in a slash; -1 without memory */
int store_http_init (store_t *out, httpc_t *c, const char *url);
/** vmlist_http_init - the list of VMs over HTTP (listhttp.c); @url does not
    end in a slash; -1 without memory */
int vmlist_http_init (vmlist_t *out, httpc_t *c, const char *url);
/** worker_client_http_init - calls to workers over HTTP (workhttp.c); always
    returns 0 */
int worker_client_http_init (worker_client_t *out, httpc_t *c);

#endif
