/* watch.cc -- listing and watching registrations of which some cannot be used,
   against a store that has no other answers */
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <nettle/base64.h>
#include <vector>

#include "lonevm.h"

static const char VALID[]
    = "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\","
      "\"state\":\"ready\","
      "\"capacity\":{\"cpu\":16000,\"memMb\":32768,\"gpu\":0},"
      "\"labels\":[\"a\",\"r1-3\"],\"sequence\":4}";

static std::string
with (const char *part, const std::string &other)
{
  std::string text = VALID;

  text.replace (text.find (part), strlen (part), other);
  return text;
}

/* A store with registrations.  Pages of a listing have @page entries; a watch
   brings @events once, and is told that its history is gone while @gone. */
struct Registrations
{
  std::mutex lock;
  std::map<std::string, std::string> entries;
  std::vector<std::pair<std::string, std::string> > events; /* "": deleted */
  size_t page = 1;
  std::atomic<int> pages{ 0 };
  std::atomic<int> listings{ 0 };
  std::atomic<bool> gone{ false };

  static json_t *
  item (const std::string &key, const std::string &value)
  {
    std::string text (BASE64_ENCODE_RAW_LENGTH (value.size ()), 0);

    base64_encode_raw (text.data (), value.size (),
                       (const uint8_t *)value.data ());
    return json_pack ("{s:o,s:s,s:i}", "key",
                      json_stringn (key.data (), key.size ()), "value",
                      text.c_str (), "revision", 1);
  }
  static void
  reply (httpd_call_t *call, json_t *body)
  {
    char *text = json_dumps (body, JSON_COMPACT);

    httpd_text (call, 200, "%s", text);
    free (text);
    json_decref (body);
  }
  void
  list (httpd_call_t *call, bool workers)
  {
    const char *after = httpd_query (call, "after");
    json_t *items = json_array ();
    bool more = false;

    if (workers)
      {
        auto i = after ? entries.upper_bound (after) : entries.begin ();

        for (; i != entries.end () && json_array_size (items) < page; i++)
          json_array_append_new (items, item (i->first, i->second));
        more = i != entries.end ();
        pages++;
        listings += !after;
      }
    reply (call, json_pack ("{s:i,s:o,s:b}", "currentRev", 5, "items", items,
                            "hasMore", more));
  }
  void
  watch (httpd_call_t *call, bool workers)
  {
    json_t *list = json_array ();

    if (workers && gone.exchange (false))
      {
        json_decref (list);
        httpd_text (call, 410, "{}");
        return;
      }
    for (auto &e : events)
      if (workers && e.second.empty ())
        json_array_append_new (
            list, json_pack ("{s:o,s:i,s:b}", "key",
                             json_stringn (e.first.data (), e.first.size ()),
                             "revision", 6, "deleted", 1));
      else if (workers)
        json_array_append_new (list, item (e.first, e.second));
    if (workers)
      events.clear ();
    reply (call, json_pack ("{s:i,s:o}", "currentRev", 6, "events", list));
  }
  static void
  answer (void *ctx, httpd_call_t *call)
  {
    Registrations *r = (Registrations *)ctx;
    const char *prefix = httpd_query (call, "prefix");
    bool workers = prefix && !strcmp (prefix, "servers/");
    bool range = !strcmp (call->path, "/kv-range");

    if (!range)
      usleep (20000);
    std::lock_guard<std::mutex> held (r->lock);
    if (range)
      r->list (call, workers);
    else
      r->watch (call, workers);
  }
};

/* A VM that watches a store of its own; it goes on until the process ends. */
struct Watching
{
  Registrations &store = *new Registrations;
  LoneVm &vm = *new LoneVm;

  void
  start ()
  {
    snprintf (vm.a.set.store, sizeof vm.a.set.store, "%s",
              vm.owner_addr.c_str ());
    ASSERT_NE (nullptr, vm.ingress);
    ASSERT_NE (nullptr, httpd_new (vm.a.set.store, 4096, 32, 4,
                                   Registrations::answer, &store));
    vm.a.http = calls_new (8);
    ASSERT_EQ (0, watch_start (&vm.a));
  }
  /* Waits up to 10 s until the VM knows this many registered workers. */
  long
  await_workers (long n)
  {
    for (int i = 0; i < 500 && vm.metric ("cell_workers_registered") != n; i++)
      usleep (20000);
    return vm.metric ("cell_workers_registered");
  }
};

/* List and watch registrations of which those under @keys cannot be used; the
   other ones are followed all the same. */
static void
follow_past (const std::vector<std::string> &keys, size_t page)
{
  Watching w;
  long valid = 0;

  for (int i = 0; i < 20; i++)
    w.store.entries["servers/" + std::string (1, (char)('a' + i)) + "-1"]
        = VALID;
  w.store.entries["servers/j-" + std::string (125, 'y')] = VALID;
  valid = (long)w.store.entries.size ();
  for (auto &k : keys)
    w.store.entries[k] = VALID;
  w.store.page = page;
  w.start ();
  EXPECT_EQ (valid, w.await_workers (valid));
  EXPECT_EQ ((w.store.entries.size () + page - 1) / page,
             (size_t)w.store.pages);
  {
    std::lock_guard<std::mutex> held (w.store.lock);
    for (auto &k : keys)
      {
        w.store.events.push_back ({ k, VALID });
        w.store.events.push_back ({ k, "" });
      }
    w.store.events.push_back ({ "servers/b-1", "" });
    w.store.events.push_back ({ "servers/new-1", VALID });
    w.store.events.push_back ({ "servers/new-2", VALID });
  }
  EXPECT_EQ (valid + 1, w.await_workers (valid + 1));
  /* The listing after the history is gone. */
  {
    std::lock_guard<std::mutex> held (w.store.lock);
    w.store.entries.erase ("servers/c-1");
    w.store.gone = true;
  }
  EXPECT_EQ (valid - 1, w.await_workers (valid - 1));
  EXPECT_EQ (2, w.store.listings.load ());
}

/* Keys of the longest ids that the cell has no room for. */
static std::vector<std::string>
long_keys ()
{
  std::vector<std::string> keys;

  for (size_t len : { 136, 150, 158, 199, 200 })
    keys.push_back ("servers/i-" + std::string (len - 10, 'x'));
  return keys;
}

/* Guards against VMs that all end by SIGSEGV, one after the other, as they
   list the registrations, since one of them has a long key: the id was looked
   for in a key that had been dropped. */
TEST (Watch, GoesOnPastLongKeys) { follow_past (long_keys (), 1000); }

/* Guards against a listing that begins again with its first page, for ever,
   since the last key of a page is a long one. */
TEST (Watch, GoesOnPastLongKeysAtTheEndOfAPage)
{
  follow_past (long_keys (), 1);
}

/* Guards against workers under ids that would break a header, the key of
   another worker's record, or are none; a NUL made the whole page unreadable.
 */
TEST (Watch, GoesOnPastKeysThatAreNoIds)
{
  follow_past ({ "servers/", "servers/a/17", "servers/a b",
                 "servers/a\r\nX-Y: z", std::string ("servers/a\0b", 11) },
               1000);
}

/* Guards against a VM that never serves, since its listing does not go on
   behind a page whose last key has characters that are reserved in a URL. */
TEST (Watch, GoesOnPastReservedCharacters)
{
  Watching w;

  for (const char *id : { "a", "b&prefix=c", "d#e", "f%2f", "g+h", "i=j", "k?",
                          "l\xc3\xa9", "m" })
    w.store.entries[std::string ("servers/") + id] = VALID;
  w.start ();
  EXPECT_EQ (9, w.await_workers (9));
  EXPECT_EQ (9, w.store.pages.load ());
}

/* Guards against a VM that never serves, since a page of the store is longer
   than its client takes: a page has 1 MB of values and up to one value more.
 */
TEST (Watch, GoesOnPastTheLongestValues)
{
  Watching w;

  for (const char *id : { "a", "b", "c", "d" })
    w.store.entries[std::string ("servers/") + id] = VALID;
  for (const char *id : { "a-odd", "b-odd" })
    w.store.entries[std::string ("servers/") + id]
        = std::string (1048576, 'x');
  w.store.page = 4;
  w.start ();
  EXPECT_EQ (4, w.await_workers (4));
  EXPECT_EQ (2, w.store.pages.load ());
}

/* Guards against a VM that ends or stops to follow registrations at a value
   that is deeply nested or has numbers or ports out of range; such an entry
   names no worker, and the others hold. */
TEST (Watch, GoesOnPastValuesOutOfRange)
{
  static const std::string deep (2000, '[');
  static const std::string values[] = {
    std::string (120000, '['),
    std::string (40000, '{'),
    deep + std::string (2000, ']'),
    with ("[\"a\",\"r1-3\"]",
          std::string (1500, '[') + std::string (1500, ']')),
    with ("\"cpu\":16000", "\"cpu\":1e400"),
    with ("\"cpu\":16000", "\"cpu\":1e308"),
    with ("\"cpu\":16000", "\"cpu\":18446744073709551616"),
    with ("\"cpu\":16000", "\"cpu\":4294967296"),
    with ("\"memMb\":32768", "\"memMb\":-1"),
    with ("127.0.0.1:9", "127.0.0.1:65536"),
    with ("127.0.0.1:9", "127.0.0.1:0"),
    with ("127.0.0.1:9", "127.0.0.1:-9"),
    with ("127.0.0.1:9", "127.0.0.1:18446744073709551625"),
    with ("127.0.0.1:9", "127.0.0.1"),
    with ("127.0.0.1:9", ":9"),
    with ("\"sequence\":4", "\"born\":1e30"),
  };
  Watching w;
  int n = 0;

  for (auto &v : values)
    {
      w.store.entries["servers/odd-" + std::to_string (n)] = v;
      w.store.entries["servers/plain-" + std::to_string (n++)] = VALID;
    }
  w.start ();
  EXPECT_EQ (n, w.await_workers (n));
  /* The same values, from workers that were registered before. */
  {
    std::lock_guard<std::mutex> held (w.store.lock);
    for (int i = 0; i < n; i += 2)
      w.store.events.push_back (
          { "servers/plain-" + std::to_string (i), values[i] });
    w.store.events.push_back ({ "servers/new", VALID });
  }
  EXPECT_EQ (n / 2 + 1, w.await_workers (n / 2 + 1));
}
