/* wire.cc -- decoding of registrations, configurations and items of the
   platform's store, valid and invalid ones */
#include <algorithm>
#include <atomic>
#include <cstring>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>

extern "C"
{
#include "../platform/wire.h"
#include "../src/httpd.h"
#include "../src/loop.h"
}

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
  free (conf->queues);
  free (conf);
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
  for (int status : { 429, 503, 400, 403 })
    {
      res.status = status;
      EXPECT_EQ (GL_ST_REFUSED, store_status (&res)) << status;
    }
  for (int status : { 500, 502, 504, 204, 302 })
    {
      res.status = status;
      EXPECT_EQ (GL_ST_UNKNOWN, store_status (&res)) << status;
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
