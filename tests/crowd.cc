/*
 * crowd.cc -- one crowd of clients against a process of gl-cell
 *
 *   crowd CASE PID MEMORY_MB REQUESTS READY METRICS RPC
 *
 * CASE is SERVER:KIND, a server of the process and a kind of crowd.h.  Checks
 * that the process lives, that its memory never exceeds that of its machine
 * and is given back, that its descriptors stay bounded, and that one ordinary
 * request is answered beside the crowd and after it.
 */
#include "crowd.h"

/* The crowd's size.  On a machine of MEMORY_MB = 48, its bodies would take
   twice that. */
#define CLIENTS 450
#define READY_CLIENTS 60
#define RPC_CLIENTS 60
#define RPC_SILENT_CLIENTS 600
/* Longest bodies that the pages allow, and longest records of RPC. */
#define BODY_MAX 262144
#define RECORD_MAX 2097152
/* Most descriptors: 384 connections of callers, all others, and the VM's own
   files. */
#define DESCRIPTORS_MAX 440
#define RPC_DESCRIPTORS_MAX 600
/* What the process may hold once the clients have gone, in KB. */
#define AFTER_KB 24576

static int bad;

static void
check (bool ok, const std::string &what)
{
  if (ok)
    return;
  printf ("  failed: %s\n", what.c_str ());
  bad = 1;
}

static std::string
word (uint32_t v)
{
  v = htonl (v);
  return std::string ((const char *)&v, sizeof v);
}

/* A call of a procedure that does not exist; it is answered. */
static std::string
rpc_call ()
{
  std::string s = word (0x80000000u | 40) + word (7) + word (0) + word (2)
                  + word (0x20047a12) + word (1) + word (99);

  return s + word (0) + word (0) + word (0) + word (0);
}

/* One ordinary request, with a body of the longest size if @longest; 0 if it
   has no answer. */
static int
ordinary (const std::string &server, const std::string &addr, const char *id,
          bool longest = false)
{
  if (server == "rpc")
    {
      for (int i = 0; i < 10; i++)
        {
          Crowd one (addr, 1, rpc_call ());

          one.settle ();
          if (one.answered ())
            return 200;
        }
      return 0;
    }
  if (server != "requests")
    return crowd_ask (addr, "GET", "/readyz", "", 5000);
  std::string body = "{\"spec\":\"done 500\",\"steps\":[{\"count\":1,"
                     "\"cpu\":1000,\"memMb\":256,\"estimateMs\":500}]}";

  if (longest)
    body.append (BODY_MAX - body.size (), ' ');
  return crowd_ask_until_served (addr, "POST", std::string ("/q/") + id, body);
}

int
main (int argc, char **argv)
{
  if (argc != 8)
    return 2;
  std::string name = argv[1];
  std::string server = name.substr (0, name.find (':'));
  std::string kind = name.substr (name.find (':') + 1);
  pid_t pid = (pid_t)atoi (argv[2]);
  long memory_kb = atol (argv[3]) * 1024;
  std::string addr = server == "requests"  ? argv[4]
                     : server == "ready"   ? argv[5]
                     : server == "metrics" ? argv[6]
                                           : argv[7];
  std::string stream = crowd_stream (kind, "/q/00000000000000c0", BODY_MAX,
                                     server == "requests" ? "/q/" : "/");
  int clients = server == "requests" ? CLIENTS : READY_CLIENTS;
  int descriptors_max = DESCRIPTORS_MAX;

  if (server == "rpc")
    {
      clients = kind == "silent" ? RPC_SILENT_CLIENTS : RPC_CLIENTS;
      descriptors_max = RPC_DESCRIPTORS_MAX;
      if (kind == "record")
        stream = word (0x80000000u | RECORD_MAX)
                 + std::string (RECORD_MAX - 4096, 'x');
    }
  long before = crowd_memory_kb (pid, "VmRSS");
  int beside, descriptors;
  {
    Crowd crowd (addr, clients, stream, kind != "unread");

    crowd.settle ();
    descriptors = crowd_descriptors (pid);
    beside = ordinary (server, addr, "00000000000000a1");
    printf ("%s: clients %d, open %zu, sent %llu KB, statuses", name.c_str (),
            clients, crowd.open (), crowd.sent () / 1024);
    for (auto [status, n] : crowd.statuses ())
      printf (" %d:%d", status, n);
  }
  int after = ordinary (server, addr, "00000000000000a2", true);
  long peak = crowd_memory_kb (pid, "VmHWM");
  long left = crowd_memory_kb (pid, "VmRSS");

  for (int i = 0; i < 100 && left > AFTER_KB; i++)
    {
      usleep (100000);
      left = crowd_memory_kb (pid, "VmRSS");
    }
  printf ("; before %ld KB, peak %ld KB, after %ld KB; descriptors %d; beside "
          "%d, after %d\n",
          before, peak, left, descriptors, beside, after);
  check (peak > 0, "the process lives");
  check (peak <= memory_kb, "memory within the machine's");
  check (left <= AFTER_KB, "memory is given back");
  check (descriptors <= descriptors_max, "descriptors are bounded");
  check (beside != 0, "an ordinary request is answered beside the crowd");
  check (server != "requests" || beside == 200, "it is served");
  check (after != 0, "an ordinary request is answered after the crowd");
  check (server != "requests" || after == 200, "it is served after the crowd");
  return bad;
}
