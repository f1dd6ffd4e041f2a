/* lonevm.h -- one VM of the cell for tests, which serves callers over HTTP */
#ifndef GL_LONEVM_H
#define GL_LONEVM_H

#include <atomic>
#include <cstdlib>
#include <cstring>
#include <string>
#include <thread>
#include <unistd.h>

extern "C"
{
#include "../platform/wire.h"
#include "../src/httpd.h"
}

/* A VM that serves callers over HTTP, without a store and without other VMs.
 */
struct LoneVm
{
  adapter_t a{};
  ingress_t *ingress = nullptr;
  httpc_t *client = httpc_new (0);
  std::thread control;
  std::string owner_addr; /* of a FakeOwner */

  static void
  no_txn (void *, uint64_t, const cell_txn_t *, gl_ms_t)
  {
  }
  static void
  no_page (void *, uint64_t, const char *, const char *, gl_ms_t)
  {
  }
  static void
  no_read (void *, uint64_t, const char *, gl_ms_t)
  {
  }
  static void
  no_lease (void *, uint64_t, gl_ms_t)
  {
  }
  static void
  no_call (void *, const cell_wcall_t *)
  {
  }
  static void
  no_consult (void *, uint64_t, const gl_consult_t *, gl_ms_t)
  {
  }

  LoneVm ()
  {
    /* Several of these tests may run at once. */
    static int made;
    int port = 10000 + 4 * (int)((getpid () + 601 * made++) % 2400);
    static celld_platform_t none{
      nullptr,  no_txn,  no_page,    no_read,
      no_lease, no_call, no_consult, decode_config
    };

    snprintf (a.set.name, sizeof a.set.name, "vm");
    snprintf (a.set.domain, sizeof a.set.domain, "d");
    snprintf (a.set.rpc, sizeof a.set.rpc, "127.0.0.1:%d", port);
    snprintf (a.set.requests, sizeof a.set.requests, "127.0.0.1:%d", port + 1);
    snprintf (a.set.ready, sizeof a.set.ready, "127.0.0.1:%d", port + 2);
    owner_addr = "127.0.0.1:" + std::to_string (port + 3);
    a.cell = celld_new (&a.set);
    if (a.cell)
      ingress = ingress_new (&a);
    if (ingress)
      control = std::thread ([this] { celld_run (a.cell, &none); });
  }
  ~LoneVm ()
  {
    if (!ingress)
      return;
    celld_quit (a.cell);
    control.join ();
    ingress_free (ingress);
    httpc_free (client);
    celld_free (a.cell);
  }
  void
  configure (const char *text)
  {
    cell_event_t ev{};

    ev.kind = CELL_EV_CONF;
    ev.conf = decode_config (text, strlen (text));
    celld_post_event (a.cell, &ev, nullptr, nullptr);
  }
  std::string answer; /* body of the last one */

  /* The status; @header and @body may be NULL. */
  int
  ask (const char *method, const char *path, const char *header,
       const char *body = nullptr)
  {
    std::string url = std::string ("http://") + a.set.requests + path;
    const char *headers[]
        = { "Host: h", "X-Deadline-Ms: 80", header, nullptr };
    httpc_request_t q{};
    httpc_result_t res{};

    q.method = method;
    q.url = url.c_str ();
    q.headers = headers;
    q.timeout = 2000;
    q.body = body;
    q.len = body ? strlen (body) : 0;
    httpc_perform (client, &q, &res);
    answer.assign (res.body ? res.body : "", res.body ? res.len : 0);
    free (res.body);
    return res.status;
  }
  /* The figure @name of the VM's metrics, -1 if there is none. */
  long
  metric (const char *name)
  {
    struct
    {
      celld_t *cell;
      std::string name;
      std::atomic<bool> done{ false };
      long value = -1;
    } q{ a.cell, std::string ("\n") + name + " " };

    celld_post_call (
        a.cell,
        [] (void *p) {
          auto *r = (decltype (q) *)p;
          text_t t{};
          celld_metrics (r->cell, &t);
          const char *at = t.s ? strstr (t.s, r->name.c_str ()) : nullptr;
          if (at)
            r->value = atol (at + r->name.size ());
          free (t.s);
          r->done = true;
        },
        &q);
    while (!q.done)
      usleep (1000);
    return q.value;
  }
};

#endif
