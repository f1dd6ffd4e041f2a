/*
 * listhttp.c -- the platform's list of VMs over HTTP
 *
 *   GET /vms/DOMAIN  If-None-Match: "N", Prefer: wait=S
 *     waits up to S seconds while the index of the list is N; 200 with ETag
 *     and [{"name","role","service","domain","rack","addr","state"}, ...]
 */
#include "platform.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of a call, beyond its wait. */
#define CALL_TIMEOUT_MS 2000

/** struct list_http_t - @url is the prefix of the service, without a slash at
    its end */
typedef struct
{
  httpc_t *http;
  char url[128];
} list_http_t;

/** struct pending_t - a call in flight */
typedef struct
{
  vmlist_done_t done;
  void *ctx;
} pending_t;

static void
copy_member (char *to, size_t size, json_t *o, const char *key)
{
  const char *v = json_string_value (json_object_get (o, key));

  snprintf (to, size, "%s", v ? v : "");
}

static void
decode_vm (gl_vm_t *vm, json_t *o)
{
  char state[16];

  copy_member (vm->name, sizeof vm->name, o, "name");
  copy_member (vm->role, sizeof vm->role, o, "role");
  copy_member (vm->service, sizeof vm->service, o, "service");
  copy_member (vm->domain, sizeof vm->domain, o, "domain");
  copy_member (vm->rack, sizeof vm->rack, o, "rack");
  copy_member (vm->addr, sizeof vm->addr, o, "addr");
  copy_member (state, sizeof state, o, "state");
  vm->state = strcmp (state, "leaving") ? GL_VM_LIVE : GL_VM_LEAVING;
}

static void
on_response (void *ctx, httpc_result_t *r)
{
  pending_t *p = ctx;
  json_t *a = NULL;
  gl_vm_t *vms = NULL;
  size_t n = 0;

  if (r->outcome == HTTPC_COMPLETE && r->status == 200)
    a = json_loadb (r->body ? r->body : "", r->len, 0, NULL);
  if (json_is_array (a))
    {
      n = json_array_size (a);
      vms = calloc (n + 1, sizeof *vms);
      for (size_t i = 0; vms && i < n; i++)
        decode_vm (&vms[i], json_array_get (a, i));
    }
  p->done (p->ctx, r->etag, vms, n);
  free (vms);
  json_decref (a);
  free (p);
}

static void
watch (void *ctx, const char *domain, uint64_t index, gl_ms_t wait,
       vmlist_done_t done, void *done_ctx)
{
  list_http_t *l = ctx;
  pending_t *p = malloc (sizeof *p);
  char url[256];
  char match[64];
  char prefer[64];
  const char *const headers[] = { match, prefer, NULL };
  httpc_request_t r = { .method = "GET",
                        .url = url,
                        .headers = headers,
                        .timeout = wait + CALL_TIMEOUT_MS,
                        .done = on_response,
                        .ctx = p };

  snprintf (url, sizeof url, "%s/vms/%s", l->url, domain);
  snprintf (match, sizeof match, "If-None-Match: \"%llu\"",
            (unsigned long long)index);
  snprintf (prefer, sizeof prefer, "Prefer: wait=%llu",
            (unsigned long long)(wait / 1000));
  if (p)
    {
      p->done = done;
      p->ctx = done_ctx;
      if (!httpc_send (l->http, &r))
        return;
    }
  free (p);
  done (done_ctx, 0, NULL, 0);
}

int
vmlist_http_init (vmlist_t *out, httpc_t *c, const char *url)
{
  list_http_t *l = calloc (1, sizeof *l);

  if (!l)
    return -1;
  l->http = c;
  snprintf (l->url, sizeof l->url, "%s", url);
  out->ctx = l;
  out->watch = watch;
  return 0;
}
