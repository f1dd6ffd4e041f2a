/* platform.h -- the platform as callers of callbacks: store, list, workers */
#ifndef GL_PLATFORM_H
#define GL_PLATFORM_H

#include "gentianlatch.h"
#include "httpc.h"

/**
 * store_done_t - end of a call to the key-value service
 * @data, @len: the value, for a get; borrowed
 */
typedef void (*store_done_t) (void *ctx, uint32_t tag,
                              gl_store_status_t status, uint64_t index,
                              const char *data, size_t len);

/**
 * struct store_t - the key-value service
 * @get: read @key; with @index not 0, wait up to @wait for another index
 * @cas: write @key if its index is @index (0: if absent); @ttl_s not 0 makes
 *   it go away after that many seconds
 *
 * Each call ends with exactly one call of @done, on any thread.
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

/** vmlist_done_t - a list of VMs; @vms is NULL when it did not come */
typedef void (*vmlist_done_t) (void *ctx, uint64_t index, const gl_vm_t *vms,
                               size_t n);

/**
 * struct vmlist_t - the platform's lagging list of VMs
 * @watch: wait up to @wait for a list of @domain other than that of @index
 */
typedef struct
{
  void *ctx;
  void (*watch) (void *ctx, const char *domain, uint64_t index, gl_ms_t wait,
                 vmlist_done_t done, void *done_ctx);
} vmlist_t;

/** worker_done_t - end of a call to a worker; @reply is borrowed */
typedef void (*worker_done_t) (void *ctx, uint32_t worker, uint32_t call,
                               gl_call_status_t status,
                               const gl_wreply_t *reply);

/**
 * struct worker_client_t - calls to workers
 * @call: deliver the encoded @msg to @addr, but not at or after @send_before
 */
typedef struct
{
  void *ctx;
  void (*call) (void *ctx, const char *addr, const char *msg, size_t len,
                gl_ms_t timeout, gl_ms_t send_before, uint32_t worker,
                uint32_t call, worker_done_t done, void *done_ctx);
} worker_client_t;

/** store_http_init - the service over HTTP (storehttp.c); @url without a slash
 */
int store_http_init (store_t *s, httpc_t *c, const char *url);
/** vmlist_http_init - the list over HTTP (listhttp.c) */
int vmlist_http_init (vmlist_t *l, httpc_t *c, const char *url);
/** worker_client_http_init - workers over HTTP (workhttp.c) */
int worker_client_http_init (worker_client_t *w, httpc_t *c);

#endif
