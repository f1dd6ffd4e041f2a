/* wire.cc -- decoding of registrations, configurations and items of the
   platform's store, valid and invalid ones */
#include <algorithm>
#include <atomic>
#include <cstring>
#include <gtest/gtest.h>
#include <nettle/base64.h>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>
#include <zlib.h>

extern "C"
{
#include "../src/codec.h"
#include "../src/loop.h"
#include "../src/rpcmux.h"
}

#include "lonevm.h"

#ifdef GL_TEST_FAULTS
extern "C"
{
#include "fault.h"
  fault_t fault_on = FAULT_NONE;
}
#endif

static int
read_worker (const std::string &text, cell_worker_t *w)
{
  return decode_registration ("servers/i-1", text.data (), text.size (), w);
}

static const char VALID[]
    = "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
      "\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1-3\"],\"sequence\":4}";

TEST (Registration, IsDecodedIntoAWorker)
{
  cell_worker_t w;

  ASSERT_EQ (0, read_worker (VALID, &w));
  EXPECT_STREQ ("i-1", w.self.id);
  EXPECT_STREQ ("10.0.0.1:80", w.addr);
  EXPECT_STREQ ("z", w.domain);
  EXPECT_EQ (16000, w.capacity.cpus_m);
  EXPECT_EQ (32768, w.capacity.memory_mb);
  EXPECT_EQ (2, w.nlabels);
  EXPECT_EQ (0, w.leaving);
}

TEST (Registration, WithStateDrainingMarksTheWorkerAsLeaving)
{
  std::string text = VALID;
  cell_worker_t w;

  text.replace (text.find ("\"ready\""), 7, "\"draining\"");
  text.insert (1, "\"remainingMs\":900,");
  ASSERT_EQ (0, read_worker (text, &w));
  EXPECT_EQ (1, w.leaving);
  EXPECT_EQ (900u, w.leaves_in_ms);
}

/* Guards against a span that is logged as a few milliseconds, since it does
   not fit into 32 bits and was cut. */
TEST (Registration, MayLeaveAfterAnySpan)
{
  std::string text = VALID;
  cell_worker_t w;

  text.replace (text.find ("\"ready\""), 7, "\"draining\"");
  text.insert (1, "\"remainingMs\":4294967301,");
  ASSERT_EQ (0, read_worker (text, &w));
  EXPECT_EQ (UINT32_MAX, w.leaves_in_ms);
}

TEST (Registration, MaySayWhenTheWorkerStarted)
{
  std::string text = VALID;
  cell_worker_t w;

  ASSERT_EQ (0, read_worker (text, &w));
  EXPECT_EQ (0u, w.self.started_at);
  text.insert (1, "\"born\":1700000000123,");
  ASSERT_EQ (0, read_worker (text, &w));
  EXPECT_EQ (1700000000123u, w.self.started_at);
}

/* An answer with a start of another type says none. */
TEST (Fields, StartIsAWholeNumber)
{
  static const struct
  {
    const char *text;
    int result;
    uint64_t start;
  } cases[] = { { "{}", 0, 0 },
                { "{\"born\":1700000000123}", 0, 1700000000123u },
                { "{\"born\":\"1700000000123\"}", -1, 0 },
                { "{\"born\":1.5}", -1, 0 },
                { "{\"born\":-1}", -1, 0 },
                { "{\"born\":[1]}", -1, 0 } };

  for (auto &c : cases)
    {
      json_t *o = json_loads (c.text, 0, nullptr);
      uint64_t start = 7;

      EXPECT_EQ (c.result, field_start (o, &start)) << c.text;
      EXPECT_EQ (c.start, start) << c.text;
      json_decref (o);
    }
}

/* Each change makes the registration above invalid. */
TEST (Registration, ThatIsInvalidIsRejected)
{
  static const char *const changes[][2] = {
    { "\"service\":\"s\",", "" },
    { "\"service\":\"s\"", "\"service\":7" },
    { "\"address\":\"10.0.0.1:80\",", "" },
    { "10.0.0.1:80", "not an address" },
    { "\"zone\":\"z\"", "\"zone\":null" },
    { "\"ready\"", "\"resting\"" },
    { "\"ready\"", "1" },
    { "\"cpu\":16000", "\"cpu\":\"many\"" },
    { "\"cpu\":16000", "\"cpu\":-1" },
    { "\"memMb\":32768,", "" },
    { "{\"cpu\":16000,\"memMb\":32768,\"gpu\":0}", "[]" },
    { "[\"a\",\"r1-3\"]", "[1,2]" },
    { "[\"a\",\"r1-3\"]", "\"a\"" },
    { "{\"service\"", "{\"born\":\"1700000000000\",\"service\"" },
    { "{\"service\"", "{\"born\":1700000000000.5,\"service\"" },
    { "{\"service\"", "{\"born\":null,\"service\"" },
    { "{\"service\"", "{\"born\":0,\"service\"" },
    { "}", "" },
    { "{", "" },
  };
  cell_worker_t w;

  for (auto &c : changes)
    {
      std::string text = VALID;
      text.replace (text.find (c[0]), strlen (c[0]), c[1]);
      EXPECT_EQ (-1, read_worker (text, &w)) << text;
    }
  EXPECT_EQ (-1, read_worker ("", &w));
  EXPECT_EQ (-1, read_worker (std::string ("\xff\xfe\0\1", 4), &w));
}

TEST (Configuration, LeavesOutInvalidRoutes)
{
  std::string text
      = "{\"version\":7,\"routes\":["
        "{\"name\":\"r1\",\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\","
        "\"priority\":1,\"maxAttempts\":2,\"stretch\":2.2,"
        "\"targetLatencyMs\":1000,\"advice\":{\"decisionMs\":630.0,"
        "\"perWorkerMs\":9.1,\"validityMs\":1500}},"
        "{\"name\":3,\"host\":\"h\"},\"garbage\"]}";
  cell_conf_t *conf = decode_config (text.data (), text.size ());

  ASSERT_NE (nullptr, conf);
  EXPECT_EQ (7u, conf->version);
  ASSERT_EQ (1, conf->nqueues);
  EXPECT_STREQ ("r1", conf->queues[0].name);
  EXPECT_EQ (2u, conf->queues[0].max_attempts);
  EXPECT_EQ (1, conf->queues[0].advised);
  EXPECT_EQ (1500u, conf->queues[0].ticket_valid_ms);
  cell_conf_free (conf);
}

/* A configuration with a queue for callers with a key and one for all, and two
   teams, which share a key. */
static const char WITH_TEAMS[]
    = "{\"version\":8,\"routes\":["
      "{\"name\":\"r1\",\"host\":\"h\",\"prefix\":\"/a/\",\"service\":\"s\"},"
      "{\"name\":\"r2\",\"host\":\"h\",\"prefix\":\"/open/\","
      "\"service\":\"s\",\"allowAnonymous\":true}],"
      "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\",\"both\"],"
      "\"weight\":0,\"priority\":1,"
      "\"cap\":{\"cpu\":5000,\"memMb\":100,\"gpu\":0}},"
      "{\"name\":\"t2\",\"apiKeys\":[\"both\",\"k2\",\"k2\"]}]}";

/* Guards against a configuration that is refused since two teams share a key,
   and against a key that then belongs to the second of them. */
TEST (Configuration, GivesASharedKeyToTheFirstTeam)
{
  cell_conf_t *conf = decode_config (WITH_TEAMS, strlen (WITH_TEAMS));

  ASSERT_NE (nullptr, conf);
  ASSERT_EQ (2, conf->teams.n);
  EXPECT_EQ (1, conf->teams.v[0].weight);
  EXPECT_EQ (5000, conf->teams.v[0].cap.cpus_m);
  EXPECT_EQ (3, conf->teams.nkeys);
  EXPECT_EQ (0, teams_find_key (&conf->teams, "k1"));
  EXPECT_EQ (0, teams_find_key (&conf->teams, "both"));
  EXPECT_EQ (1, teams_find_key (&conf->teams, "k2"));
  EXPECT_EQ (-1, teams_find_key (&conf->teams, "k"));
  EXPECT_EQ (-1, teams_find_key (&conf->teams, ""));
  EXPECT_EQ (1, conf->teams.keys[1].other_team);
  EXPECT_EQ (0, conf->queues[0].allow_anonymous);
  EXPECT_EQ (1, conf->queues[1].allow_anonymous);
  cell_conf_free (conf);
}

/* Guards against a key that a newer configuration lacks and that is served on,
   and against keys that follow another team when the order of the teams
   changes.  The load is that of the largest site: 95 teams, 4,750 keys. */
TEST (Teams, KeepTheirKeysThroughNewerConfigurations)
{
  static const int TEAMS = 95;
  static const int KEYS = 50;
  teams_t t{};

  for (int round = 0; round < 3; round++)
    {
      teams_t next{};

      next.configured = 1;
      for (int i = 0; i < TEAMS; i++)
        {
          int k = (i * 7 + round * 11) % TEAMS;
          int at = teams_add (&next, ("t" + std::to_string (k)).c_str ());

          for (int n = round; n < KEYS + round; n++)
            ASSERT_EQ (0, teams_add_key (&next,
                                         ("t" + std::to_string (k) + "-"
                                          + std::to_string (n))
                                             .c_str (),
                                         at));
        }
      ASSERT_EQ (0, teams_index_keys (&next, 12345u + (unsigned)round));
      ASSERT_EQ (0, teams_merge (&t, &next));
      ASSERT_EQ (TEAMS, t.n);
      for (int k = 0; k < TEAMS; k++)
        for (int n = 0; n < KEYS + 3; n++)
          {
            std::string name = "t" + std::to_string (k);
            int at = teams_find_key (
                &t, (name + "-" + std::to_string (n)).c_str ());
            bool valid = n >= round && n < KEYS + round;

            ASSERT_EQ (valid, at >= 0) << name << " " << n;
            ASSERT_STREQ (valid ? name.c_str () : "",
                          valid ? t.v[at].name : "");
          }
    }
  teams_destroy (&t);
}

TEST (Configuration, ThatIsInvalidIsRejected)
{
  for (std::string text :
       { "", "{", "[]", "{\"version\":0,\"routes\":[]}",
         "{\"version\":\"7\",\"routes\":[]}", "{\"version\":7}", "\xff" })
    EXPECT_EQ (nullptr, decode_config (text.data (), text.size ())) << text;
}

TEST (Items, KeepBinaryValuesAndRevisions)
{
  json_t *list = json_loads (
      "[{\"key\":\"k\",\"value\":\"AAEC\",\"revision\":9},"
      "{\"key\":\"bad\",\"value\":\"*\",\"revision\":1},{\"key\":7}]",
      0, nullptr);
  int n;
  cell_item_t *v = store_decode_items (list, &n);

  ASSERT_EQ (3, n);
  EXPECT_EQ (3u, v[0].len);
  EXPECT_EQ (0, memcmp (v[0].value, "\0\1\2", 3));
  EXPECT_EQ (9u, v[0].revision);
  EXPECT_EQ (nullptr, v[1].value);
  EXPECT_STREQ ("", v[2].key);
  store_items_free (v, n);
  json_decref (list);
}

/* Guards against an accepted job that is refused as not run, because the store
   answered its write with an error that does not say that nothing was done. */
TEST (StoreStatus, OfAnotherServerErrorIsUnknown)
{
  httpc_result_t res{};

  res.outcome = HTTPC_COMPLETE;
  for (int status : { 429, 503 })
    {
      res.status = status;
      EXPECT_EQ (GL_ST_REFUSED, store_status (&res)) << status;
    }
  for (int status : { 400, 403, 413 })
    {
      res.status = status;
      EXPECT_EQ (GL_ST_INVALID, store_status (&res)) << status;
    }
  for (int status : { 500, 502, 504, 204, 302 })
    {
      res.status = status;
      EXPECT_EQ (GL_ST_UNKNOWN, store_status (&res)) << status;
    }
}

/* Guards against a store that does not find the results of ended jobs, since
   slashes of keys were escaped, which a query may have as they are. */
TEST (Fields, AreEscapedWhereAQueryNeedsIt)
{
  static const char *const cases[][2]
      = { { "gl/j/0123456789abcdef", "gl/j/0123456789abcdef" },
          { "servers/i-7f.3_a~b", "servers/i-7f.3_a~b" },
          { "", "" },
          { "a%2Fb/c", "a%252Fb/c" },
          { "a&b#c+d e?f", "a%26b%23c%2Bd%20e%3Ff" } };

  for (auto &c : cases)
    {
      char *text = http_escape (c[0], strlen (c[0]));

      EXPECT_STREQ (c[1], text);
      free (text);
    }
}

/* A complete response with this body. */
static httpc_result_t
response (int status, const char *body)
{
  httpc_result_t res{};

  res.outcome = HTTPC_COMPLETE;
  res.status = status;
  res.body = (char *)body;
  res.len = strlen (body);
  return res;
}

/* Guards against a new owner that takes over no jobs and no workers' records,
   since the store's answer cannot be read. */
TEST (StoreStatus, OfAListThatCannotBeReadIsUnknown)
{
  static const struct
  {
    int status;
    const char *body;
    gl_store_status_t result;
  } cases[] = {
    { 200, "{\"currentRev\":1,\"items\":[]}", GL_ST_OK },
    { 200, "{\"currentRev\":1}", GL_ST_UNKNOWN },
    { 200, "{\"currentRev\":1,\"items\":{}}", GL_ST_UNKNOWN },
    { 200, "{\"currentRev\":1,\"items\":[", GL_ST_UNKNOWN },
    { 200, "", GL_ST_UNKNOWN },
    { 412, "{\"items\":[]}", GL_ST_CONFLICT },
    { 412, "{}", GL_ST_REFUSED },
    { 503, "", GL_ST_REFUSED },
  };

  for (auto &c : cases)
    {
      httpc_result_t res = response (c.status, c.body);
      json_t *o = http_json_body (&res);

      EXPECT_EQ (c.result, store_list_status (&res, o)) << c.body;
      json_decref (o);
    }
}

/* Guards against a task that is started a second time while it runs, since
   the answer of its worker cannot be read and was taken for empty lists. */
TEST (Worker, ListsThatCannotBeReadAreNotEmpty)
{
  static const struct
  {
    const char *body;
    cell_wstatus_t status;
    int nruns;
  } cases[] = {
    { "{\"timestampMs\":5,\"running\":[[\"t\",1,\"\",3,0]],\"finished\":[]}",
      CELL_W_OK, 1 },
    { "{\"timestampMs\":5,\"running\":[],\"finished\":[]}", CELL_W_OK, 0 },
    { "{\"timestampMs\":5,\"finished\":[]}", CELL_W_UNKNOWN, 0 },
    { "{\"timestampMs\":5,\"running\":[[\"t\",1,\"\",3,0]]}", CELL_W_UNKNOWN,
      0 },
    { "{\"timestampMs\":5,\"running\":{},\"finished\":[]}", CELL_W_UNKNOWN,
      0 },
    { "{\"timestampMs\":5,\"running\":[[\"t\",1", CELL_W_UNKNOWN, 0 },
    { "", CELL_W_UNKNOWN, 0 },
  };

  for (auto &c : cases)
    {
      cell_wcall_t k{};
      httpc_result_t res = response (200, c.body);

      k.op = CELL_OP_POLL;
      worker_decode (&k, &res);
      EXPECT_EQ (c.status, k.status) << c.body;
      EXPECT_EQ (c.nruns, k.nruns) << c.body;
      EXPECT_EQ (c.status == CELL_W_OK ? 5u : 0u, k.worker_clock) << c.body;
      free (k.runs);
      free (k.ends);
    }
}

TEST (Fields, WithNumbersThatDoNotFitAreAbsent)
{
  json_t *o = json_loads ("{\"a\":1e300,\"b\":-1e300,\"c\":7.9}", 0, nullptr);
  json_int_t v = 5;

  EXPECT_EQ (0, field_int (o, "a", &v));
  EXPECT_EQ (0, field_int (o, "b", &v));
  EXPECT_EQ (5, v);
  EXPECT_EQ (1, field_int (o, "c", &v));
  EXPECT_EQ (7, v);
  json_decref (o);
}

/* Guards against a request that is served without a key of the configuration
   in force, and against another order of the answers: configuration, queue,
   key, form.  A well-formed request with a key is not served, since nobody
   owns the cell. */
TEST (Ingress, AsksForAKeyWhereThereAreTeams)
{
  static const char JOB[] = "/a/00000000000000a1";
  static const struct
  {
    const char *method;
    const char *path;
    const char *header;
    int status;
  } cases[] = {
    { "GET", JOB, nullptr, 401 },
    { "GET", JOB, "Authorization: Bearer k3", 401 },
    { "GET", JOB, "Authorization: Bearer ", 401 },
    { "GET", JOB, "Authorization: Bearer k", 401 },
    { "GET", JOB, "Authorization: Bearer k11", 401 },
    { "GET", JOB, "Authorization: Basic k1", 401 },
    { "DELETE", JOB, "Authorization: Bearer k3", 401 },
    { "GET", "/a/", nullptr, 401 },
    { "GET", "/a/malformed", nullptr, 401 },
    { "POST", JOB, nullptr, 401 },
    { "GET", "/none/00000000000000a1", nullptr, 404 },
    { "GET", "/a/malformed", "Authorization: Bearer k1", 400 },
    { "GET", "/a/malformed", "Authorization: bearer k2", 400 },
    { "POST", JOB, "Authorization: Bearer both", 400 },
    { "GET", "/open/malformed", nullptr, 400 },
    { "GET", "/open/malformed", "Authorization: Bearer k3", 400 },
    { "DELETE", JOB, "Authorization: Bearer k1", 504 },
    { "GET", "/a/", "Authorization: Bearer k1", 503 },
    { "GET", "/a/", nullptr, 401 },
  };
  LoneVm vm;

  ASSERT_NE (nullptr, vm.ingress);
  EXPECT_EQ (503, vm.ask ("GET", JOB, nullptr));
  EXPECT_EQ (503, vm.ask ("GET", "/none/x", "Authorization: Bearer k1"));
  vm.configure (WITH_TEAMS);
  for (auto &c : cases)
    EXPECT_EQ (c.status, vm.ask (c.method, c.path, c.header))
        << c.method << " " << c.path << " " << (c.header ? c.header : "-");
  /* A newer configuration without the key, and one without teams. */
  std::string text = WITH_TEAMS;
  text.replace (text.find (":8,"), 3, ":9,");
  text.replace (text.find ("\"k1\""), 4, "\"k4\"");
  vm.configure (text.c_str ());
  EXPECT_EQ (401, vm.ask ("GET", JOB, "Authorization: Bearer k1"));
  EXPECT_EQ (400, vm.ask ("GET", "/a/x", "Authorization: Bearer k4"));
  vm.configure (WITH_TEAMS);
  EXPECT_EQ (401, vm.ask ("GET", JOB, "Authorization: Bearer k1"));
  text.replace (text.find (":9,"), 3, ":10,");
  text.replace (text.find ("tenants"), 7, "ignored");
  vm.configure (text.c_str ());
  EXPECT_EQ (400, vm.ask ("GET", "/a/x", nullptr));
}

/* Guards against numbers of a submission that are taken as 0 or cut: a job of
   occurrences 90 days apart had them all started at once. */
TEST (Ingress, TakesNumbersWholeOrRefusesThem)
{
  static const char JOB[] = "/open/00000000000000a1";
  static const struct
  {
    const char *step; /* members of the step, and of the job */
    const char *job;
    const char *bad; /* NULL: it is taken */
  } cases[] = {
    { "", "", nullptr },
    { ",\"estimateMs\":4294967295", ",\"intervalMs\":7776000000", nullptr },
    { "", ",\"repeatCount\":4,\"initialDelayMs\":1700000000000", nullptr },
    { ",\"estimateMs\":4294967296", "", "estimateMs" },
    { ",\"estimateMs\":-1", "", "estimateMs" },
    { ",\"estimateMs\":\"5\"", "", "estimateMs" },
    { ",\"cpu\":2147483648", "", "cpu" },
    { ",\"memMb\":1e300", "", "memMb" },
    { ",\"gpu\":4294967297", "", "gpu" },
    { ",\"antiAffinity\":4294967297", "", "antiAffinity" },
    { ",\"requirements\":7", "", "requirements" },
    { ",\"after\":[4294967296]", "", "after" },
    { ",\"after\":[-1]", "", "after" },
    { ",\"after\":0", "", "after" },
    { "", ",\"repeatCount\":4294967296", "repeatCount" },
    { "", ",\"intervalMs\":1e19", "intervalMs" },
    { "", ",\"intervalMs\":-5", "intervalMs" },
    { "", ",\"initialDelayMs\":-5", "initialDelayMs" },
    { "", ",\"initialDelayMs\":1e300", "initialDelayMs" },
  };
  LoneVm vm;
  std::string long_name (128, 'x');

  ASSERT_NE (nullptr, vm.ingress);
  vm.configure (WITH_TEAMS);
  for (auto &c : cases)
    {
      std::string body
          = std::string ("{\"spec\":\"s\",\"steps\":[{\"count\":1") + c.step
            + "}]" + c.job + "}";

      /* Nobody owns the cell, so what is taken is refused as not run. */
      EXPECT_EQ (c.bad ? 400 : 503,
                 vm.ask ("POST", JOB, nullptr, body.c_str ()))
          << body;
      if (c.bad)
        {
          EXPECT_EQ (std::string ("{\"error\":\"") + c.bad
                         + " is out of range\"}",
                     vm.answer);
        }
    }
  EXPECT_EQ (400, vm.ask ("POST", JOB, nullptr,
                          ("{\"steps\":[{\"count\":1,\"affinity\":\""
                           + long_name + "\"}]}")
                              .c_str ()));
}

/* The owner of the cell, as far as its RPCs go: it sends heartbeats to the VM,
   and serves and asks for configurations. */
struct FakeOwner
{
  static constexpr uint32_t HEARTBEAT = 3;
  static constexpr uint32_t CONFIG = 4;
  loop_t *loop = loop_new ();
  rpcmux_t *rpc;
  std::string addr;
  const char *vm_addr;
  std::thread control;
  uint64_t version = 0; /* of its configuration; 0: of a version of the program
                           that does not say */
  std::string conf;     /* its configuration */
  gl_ms_t heartbeat_due = 0;
  std::atomic<uint64_t> vm_version{ 0 }; /* by the VM's last answer */
  std::atomic<int> answers{ 0 };         /* to heartbeats */
  std::atomic<int> old_answers{ 0 }; /* that a VM of an older version reads */
  std::atomic<int> asked{ 0 };       /* for its configuration */
  std::atomic<uint64_t> ask{ 0 };    /* ask for a newer one than this */
  std::vector<gl_config_reply_t> got;

  explicit FakeOwner (const LoneVm &vm)
      : addr (vm.owner_addr), vm_addr (vm.a.set.rpc)
  {
    rpcmux_hooks_t hooks{ done, serve, [] (void *, const char *) {}, this };

    rpcmux_limits_t limits{ 64, 8 << 20, 8000 };
    rpc = rpcmux_new (loop, addr.c_str (), &limits, &hooks);
  }
  void
  start ()
  {
    control = std::thread ([this] {
      loop_handlers_t h{ on_item, on_tick, next_due, this };
      loop_run (loop, &h);
    });
  }
  void
  stop ()
  {
    if (!control.joinable ())
      return;
    loop_must_post (loop, this);
    control.join ();
  }
  ~FakeOwner ()
  {
    stop ();
    rpcmux_free (rpc);
    loop_free (loop);
    for (auto &r : got)
      codec_free ((xdrproc_t)xdr_gl_config_reply_t, &r);
  }
  static void
  on_item (void *ctx, void *)
  {
    loop_quit (((FakeOwner *)ctx)->loop);
  }
  static gl_ms_t
  next_due (void *ctx)
  {
    return ((FakeOwner *)ctx)->heartbeat_due;
  }
  static void
  on_tick (void *ctx)
  {
    FakeOwner *o = (FakeOwner *)ctx;
    gl_versioned_heartbeat_t hb{};
    gl_config_ask_t ask{ o->ask };

    rpcmux_tick (o->rpc);
    if (clock_ms () < o->heartbeat_due)
      return;
    o->heartbeat_due = clock_ms () + 60;
    hb.heartbeat.generation = 7;
    hb.heartbeat.vm = (char *)"owner";
    hb.heartbeat.addr = o->addr.data ();
    hb.conf_version = o->version;
    if (o->version)
      rpcmux_call (o->rpc, o->vm_addr, HEARTBEAT,
                   (xdrproc_t)xdr_gl_versioned_heartbeat_t, &hb, 400, 1);
    else
      rpcmux_call (o->rpc, o->vm_addr, HEARTBEAT,
                   (xdrproc_t)xdr_gl_heartbeat_t, &hb.heartbeat, 400, 1);
    if (ask.conf_version)
      rpcmux_call (o->rpc, o->vm_addr, CONFIG, (xdrproc_t)xdr_gl_config_ask_t,
                   &ask, 1000, 2);
    o->ask = 0;
  }
  static void
  done (void *ctx, uint64_t, uint32_t proc, gl_code_t code, const char *data,
        size_t len)
  {
    FakeOwner *o = (FakeOwner *)ctx;
    gl_versioned_ack_t ack{};
    gl_heartbeat_ack_t old{};
    gl_config_reply_t reply{};

    if (code != GL_OK)
      return;
    if (proc == CONFIG)
      {
        if (!codec_decode ((xdrproc_t)xdr_gl_config_reply_t, &reply, data,
                           len))
          o->got.push_back (reply);
        return;
      }
    if (!codec_decode ((xdrproc_t)xdr_gl_versioned_ack_t, &ack, data, len))
      o->vm_version = ack.conf_version;
    o->old_answers
        += !codec_decode ((xdrproc_t)xdr_gl_heartbeat_ack_t, &old, data, len);
    o->answers++;
  }
  static void
  serve (void *ctx, rpcmux_caller_t from, uint32_t proc, const char *, size_t)
  {
    FakeOwner *o = (FakeOwner *)ctx;
    std::string packed (o->conf.size () + 1000, 0);
    uLongf n = packed.size ();
    gl_config_reply_t reply{};

    if (proc != CONFIG)
      {
        rpcmux_reply (o->rpc, from, nullptr, nullptr);
        return;
      }
    /* The first answer tells the VM to ask again. */
    if (o->asked++)
      {
        compress ((Bytef *)packed.data (), &n, (const Bytef *)o->conf.data (),
                  o->conf.size ());
        reply.conf_version = o->version;
        reply.length = (u_int)o->conf.size ();
        reply.data.data_len = (u_int)n;
        reply.data.data_val = packed.data ();
      }
    else
      reply.code = GL_RETRY;
    rpcmux_reply (o->rpc, from, (xdrproc_t)xdr_gl_config_reply_t, &reply);
  }
  /* Waits up to 4 s. */
  template <class Fn>
  static bool
  await (Fn fn)
  {
    for (int i = 0; i < 400 && !fn (); i++)
      usleep (10000);
    return fn ();
  }
};

/* Guards against a VM that the store refuses and that does not get the
   configuration of the owner, or passes on another one than the store has: a
   configuration of the largest size, 1,892 queues. */
TEST (Peers, PassTheConfigurationOn)
{
  std::string conf = WITH_TEAMS;
  std::string routes;
  LoneVm vm;

  ASSERT_NE (nullptr, vm.ingress);
  for (int i = 0; i < 1890; i++)
    {
      std::string n = std::to_string (i);
      routes += "{\"name\":\"q" + n + "\",\"host\":\"h" + n
                + ".example\",\"prefix\":\"/q" + n
                + "/\",\"service\":\"service-" + n
                + "\",\"priority\":1,\"maxAttempts\":3,\"stretch\":2.2,"
                  "\"targetLatencyMs\":1000,\"advice\":{\"decisionMs\":63.0,"
                  "\"perWorkerMs\":9.1,\"validityMs\":1500}},";
    }
  conf.insert (conf.find ("{\"name\":\"r1\""), routes);
  FakeOwner owner (vm);
  owner.version = 8;
  owner.conf = conf;
  ASSERT_NE (nullptr, owner.rpc);
  owner.start ();
  EXPECT_TRUE (FakeOwner::await ([&] { return owner.vm_version == 8; }));
  EXPECT_EQ (2, owner.asked.load ());
  EXPECT_EQ (owner.answers.load (), owner.old_answers.load ());
  EXPECT_EQ (401, vm.ask ("GET", "/a/x", "Authorization: Bearer k3"));
  EXPECT_EQ (400, vm.ask ("GET", "/a/x", "Authorization: Bearer k1"));
  /* The VM has nothing newer than version 8, and the bytes of that. */
  owner.ask = 8;
  EXPECT_TRUE (FakeOwner::await ([&] { return owner.ask == 0; }));
  owner.ask = 7;
  EXPECT_TRUE (FakeOwner::await ([&] { return owner.ask == 0; }));
  usleep (300000);
  owner.stop ();
  ASSERT_EQ (2u, owner.got.size ());
  EXPECT_EQ (GL_NOT_FOUND, owner.got[0].code);
  ASSERT_EQ (GL_OK, owner.got[1].code);
  EXPECT_EQ (8u, owner.got[1].conf_version);
  std::string text (owner.got[1].length, 0);
  uLongf n = text.size ();
  EXPECT_EQ (Z_OK, uncompress ((Bytef *)text.data (), &n,
                               (const Bytef *)owner.got[1].data.data_val,
                               owner.got[1].data.data_len));
  EXPECT_EQ (conf, text);
  printf ("configuration of %zu bytes, sent as %u\n", conf.size (),
          owner.got[1].data.data_len);
  /* A tenth of a second on a link of 10 Mbit/s. */
  EXPECT_LT (owner.got[1].data.data_len, 125000u);
}

/* Guards against an owner of an older version, whose heartbeats have no
   version of the configuration, that is not understood any more. */
TEST (Peers, OfOlderVersionsAreHeard)
{
  LoneVm vm;

  ASSERT_NE (nullptr, vm.ingress);
  FakeOwner owner (vm);
  ASSERT_NE (nullptr, owner.rpc);
  owner.start ();
  EXPECT_TRUE (FakeOwner::await ([&] { return owner.old_answers >= 10; }));
  EXPECT_EQ (0, owner.asked.load ());
}

/* A store whose workers have written EVENTS registrations, of which a watch
   returns PER_RESPONSE at a time. */
struct FakeStore
{
  static constexpr int EVENTS = 1200;
  static constexpr int PER_RESPONSE = 200;
  std::atomic<int> sent{ 0 };

  static void
  answer (void *ctx, httpd_call_t *call)
  {
    FakeStore *s = (FakeStore *)ctx;
    const char *prefix = httpd_query (call, "prefix");
    const char *after = httpd_query (call, "after");
    bool workers = prefix && !strcmp (prefix, "servers/");
    std::string events;
    int from = after ? atoi (after) : 0;
    int to = workers ? std::min (from + PER_RESPONSE, EVENTS) : from;

    if (!strcmp (call->path, "/kv-range"))
      {
        httpd_text (call, 200, "{\"currentRev\":0,\"items\":[]}");
        return;
      }
    for (int i = from; i < to; i++)
      events += std::string (i > from ? "," : "") + "{\"key\":\"servers/i-"
                + std::to_string (i) + "\",\"value\":\"AAEC\",\"revision\":1}";
    if (workers)
      s->sent = to;
    httpd_text (call, 200, "{\"currentRev\":%d,\"events\":[%s]}", to,
                events.c_str ());
  }
};

/* Guards against a standby that still uses workers that have left when it
   takes the cell over: on a large cell its watch of registrations paused after
   each response although there were more events, and fell behind by many
   seconds. */
TEST (Watch, OfManyRegistrationsDoesNotFallBehind)
{
  static adapter_t a;
  static FakeStore store;
  /* Several of these tests may run at once. */
  int port = 20000 + 2 * (int)(getpid () % 5000);
  std::string addr = "127.0.0.1:" + std::to_string (port);
  httpd_t *server
      = httpd_new (addr.c_str (), 4096, 32, 2, FakeStore::answer, &store);
  gl_ms_t end;

  ASSERT_NE (nullptr, server);
  snprintf (a.set.name, sizeof a.set.name, "vm");
  snprintf (a.set.domain, sizeof a.set.domain, "d");
  snprintf (a.set.rpc, sizeof a.set.rpc, "127.0.0.1:%d", port + 1);
  snprintf (a.set.store, sizeof a.set.store, "%s", addr.c_str ());
  a.http = calls_new (8);
  a.cell = celld_new (&a.set);
  ASSERT_NE (nullptr, a.cell);
  ASSERT_EQ (0, watch_start (&a));
  for (end = clock_ms () + 4000;
       store.sent < FakeStore::EVENTS && clock_ms () < end;)
    usleep (10000);
  EXPECT_EQ (FakeStore::EVENTS, store.sent.load ());
  /* The watches go on until the process ends. */
}

/* A store that holds a configuration and has no changes. */
static void
answer_with_conf (void *, httpd_call_t *call)
{
  const char *prefix = httpd_query (call, "prefix");
  char encoded[2 * sizeof WITH_TEAMS];

  if (strcmp (call->path, "/kv-range"))
    {
      usleep (50000);
      httpd_text (call, 200, "{\"currentRev\":5,\"events\":[]}");
      return;
    }
  if (strcmp (prefix ? prefix : "", "op/"))
    {
      httpd_text (call, 200, "{\"currentRev\":5,\"items\":[]}");
      return;
    }
  encoded[BASE64_ENCODE_RAW_LENGTH (strlen (WITH_TEAMS))] = 0;
  base64_encode_raw (encoded, strlen (WITH_TEAMS),
                     (const uint8_t *)WITH_TEAMS);
  httpd_text (call, 200,
              "{\"currentRev\":5,\"items\":[{\"key\":\"op/config\","
              "\"value\":\"%s\",\"revision\":5}]}",
              encoded);
}

/* Guards against a VM that takes its configuration for outdated, and refuses
   keys, though the store answers its watch, and against one that takes it for
   confirmed when the store has stopped answering. */
TEST (Watch, ConfirmsTheConfigurationWhileTheStoreAnswers)
{
  /* Its watches go on until the process ends. */
  static LoneVm &vm = *new LoneVm;
  std::string addr = vm.owner_addr;
  httpd_t *store
      = httpd_new (addr.c_str (), 4096, 32, 4, answer_with_conf, nullptr);
  auto age = [] {
    std::atomic<long> value{ -2 };
    std::pair<celld_t *, std::atomic<long> *> arg{ vm.a.cell, &value };

    celld_post_call (
        vm.a.cell,
        [] (void *p) {
          auto *q = (std::pair<celld_t *, std::atomic<long> *> *)p;
          text_t t{};
          celld_metrics (q->first, &t);
          const char *at = strstr (t.s, "cell_config_age_ms ");
          long n = at ? atol (at + strlen ("cell_config_age_ms ")) : -1;
          free (t.s);
          *q->second = n;
        },
        &arg);
    while (value == -2)
      usleep (1000);
    return (long)value;
  };

  ASSERT_NE (nullptr, vm.ingress);
  ASSERT_NE (nullptr, store);
  EXPECT_EQ (-1, age ());
  snprintf (vm.a.set.store, sizeof vm.a.set.store, "%s", addr.c_str ());
  vm.a.http = calls_new (8);
  ASSERT_EQ (0, watch_start (&vm.a));
  usleep (1200000);
  EXPECT_GE (age (), 0);
  EXPECT_LT (age (), 800);
  EXPECT_EQ (400, vm.ask ("GET", "/a/x", "Authorization: Bearer k1"));
  httpd_free (store);
  usleep (900000);
  EXPECT_GT (age (), 600);
}
