/*
 * glctl.c -- command-line client of the administration API
 *
 * Exit status: 0 done, 1 refused, 2 wrong usage, 3 not done, may be retried
 * later, 4 not found, 5 no response or outcome unknown.
 */
#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpc.h"

#define EXIT_REFUSED 1
#define EXIT_USAGE 2
#define EXIT_RETRY_LATER 3
#define EXIT_NOT_FOUND 4
#define EXIT_UNKNOWN 5
/* Timeout of one request to the API, milliseconds. */
#define TIMEOUT_MS 8000
/* Bytes of a configuration file that are sent at most; the administration
   daemon accepts no longer body. */
#define CONFIG_MAX 262144

/* Address of the API, "IP:port". */
static const char *admin_addr = "127.0.0.1:7100";
/* Print responses as JSON. */
static int as_json;
static httpc_t *http;

/**
 * struct response_t - a response of the API
 * @status: HTTP status, 0 if no response came
 * @json: its body, NULL if that is not JSON
 */
typedef struct
{
  int status;
  json_t *json;
} response_t;

static void
usage (FILE *out)
{
  fputs (
      "Usage: glctl [--admin IP:PORT] [--json] COMMAND [ARGUMENT]...\n\n"
      "  submit --name N --team T --class C [--tasks N] [--cpus-m N]\n"
      "         [--memory-mb N] [--accels N] [--runtime-s N] [--attempts N]\n"
      "         [--domain D] [--id N]\n"
      "                        submit a job; C is urgent, service, gang or "
      "batch\n"
      "  jobs                  list jobs\n"
      "  job ID                one job with its tasks\n"
      "  why ID                why a job waits\n"
      "  cancel ID             cancel a job\n"
      "  workers               list workers\n"
      "  cordon W, uncordon W  close a worker to new tasks, open it again\n"
      "  queues                teams with quota, use and queues\n"
      "  domains               one line a domain\n"
      "  waits                 waiting times by class\n"
      "  nodes                 daemons with revision, owner, cost\n"
      "  config                the configuration record\n"
      "  config check FILE [--site S]   check without applying\n"
      "  config apply FILE [--site S] [--author A] [--revision N]\n"
      "                        replace the base, or the overlay of a site\n",
      out);
}

/* ---- requests to the API ---- */

static int
exit_status (const response_t *resp)
{
  if (resp->status == 200)
    return 0;
  if (resp->status == 0 || resp->status == 504)
    return EXIT_UNKNOWN;
  if (resp->status == 503)
    return EXIT_RETRY_LATER;
  return resp->status == 404 ? EXIT_NOT_FOUND : EXIT_REFUSED;
}

/* Send a request; @body and @author may be NULL. */
static response_t
send_request (const char *method, const char *path, const char *body,
              const char *author)
{
  char url[512];
  char from[128];
  const char *const headers[] = { from, NULL };
  httpc_request_t r = { .method = method,
                        .url = url,
                        .headers = headers,
                        .body = body,
                        .len = body ? strlen (body) : 0,
                        .timeout = TIMEOUT_MS };
  httpc_result_t res = { 0 };
  response_t resp = { 0 };

  snprintf (url, sizeof url, "http://%s%s", admin_addr, path);
  snprintf (from, sizeof from, "From: %.100s", author ? author : "glctl");
  if (!httpc_perform (http, &r, &res))
    {
      resp.status = res.status;
      resp.json = json_loadb (res.body ? res.body : "", res.len, 0, NULL);
    }
  free (res.body);
  return resp;
}

static void
print_json (json_t *j)
{
  char *text = json_dumps (j, JSON_INDENT (2) | JSON_ENCODE_ANY);

  puts (text ? text : "null");
  free (text);
}

static void
print_error (const response_t *resp)
{
  const char *code = json_string_value (json_object_get (resp->json, "error"));
  const char *reason
      = json_string_value (json_object_get (resp->json, "reason"));
  json_int_t retry
      = json_integer_value (json_object_get (resp->json, "retry_ms"));

  fprintf (stderr, "glctl: %s: %s", code ? code : "unreachable",
           reason ? reason : admin_addr);
  if (retry)
    fprintf (stderr, "; come back in %lld ms", (long long)retry);
  fputc ('\n', stderr);
}

/* Print a response: with @print, as JSON with --json, or as an error.  Frees
   its body; returns the exit status. */
static int
print_response (response_t *resp, void (*print) (json_t *))
{
  int rc = exit_status (resp);

  if (as_json && resp->json)
    print_json (resp->json);
  else if (rc)
    print_error (resp);
  else
    print (resp->json);
  json_decref (resp->json);
  return rc;
}

/* ---- printing ---- */

/* The string member @key, "" if there is none. */
static const char *
get_string (json_t *o, const char *key)
{
  const char *v = json_string_value (json_object_get (o, key));

  return v ? v : "";
}

/* The integer member @key, 0 if there is none. */
static long long
get_int (json_t *o, const char *key)
{
  return json_integer_value (json_object_get (o, key));
}

static void
print_job_line (json_t *j)
{
  printf ("%-15lld %-20s %-12s %-8s %-15s %-8s tasks %lld waiting %lld live "
          "%lld ended %lld failed %lld\n",
          get_int (j, "id"), get_string (j, "name"), get_string (j, "team"),
          get_string (j, "class"), get_string (j, "state"),
          get_string (j, "domain"), get_int (j, "tasks"),
          get_int (j, "waiting"), get_int (j, "live"), get_int (j, "ended"),
          get_int (j, "failed"));
}

static void
print_job (json_t *j)
{
  size_t i;
  json_t *t;

  print_job_line (j);
  json_array_foreach (json_object_get (j, "task_list"), i, t)
      printf ("  task %lld %s attempt %lld worker %s for %lld ms %s\n",
              get_int (t, "index"), get_string (t, "state"),
              get_int (t, "attempt"), get_string (t, "worker"),
              get_int (t, "since_ms"), get_string (t, "outcome"));
  if (get_int (j, "waiting"))
    printf ("  why: %s\n", get_string (j, "why"));
}

static void
print_why (json_t *j)
{
  if (get_int (j, "waiting"))
    printf ("%s\n", get_string (j, "why"));
  else
    printf ("it does not wait: %s\n", get_string (j, "state"));
}

/* Call @print_line for each element of each domain's list, or for the domain's
   value if that is no list. */
static void
for_each_item (json_t *domains, void (*print_line) (const char *, json_t *))
{
  const char *domain;
  json_t *list;
  json_t *o;
  size_t i;

  json_object_foreach (domains, domain, list)
  {
    if (json_is_array (list))
      json_array_foreach (list, i, o) print_line (domain, o);
    else
      print_line (domain, list);
  }
}

static void
print_job_item (const char *domain, json_t *o)
{
  (void)domain;
  print_job_line (o);
}

static void
print_worker_item (const char *domain, json_t *o)
{
  json_t *total = json_object_get (o, "total");
  json_t *used = json_object_get (o, "used");

  printf ("%-20s %-10s %-12s %-7s %s%s%s%s tasks %lld cpus %lld/%lld memory "
          "%lld/%lld accels %lld/%lld\n",
          get_string (o, "name"), domain, get_string (o, "rack"),
          get_string (o, "state"),
          json_is_true (json_object_get (o, "listed")) ? "" : "unlisted ",
          json_is_true (json_object_get (o, "leaving")) ? "leaving " : "",
          json_is_true (json_object_get (o, "cordoned")) ? "cordoned " : "",
          json_is_true (json_object_get (o, "probation")) ? "probation " : "",
          get_int (o, "tasks"), get_int (used, "cpus_m"),
          get_int (total, "cpus_m"), get_int (used, "memory_mb"),
          get_int (total, "memory_mb"), get_int (used, "accels"),
          get_int (total, "accels"));
}

static void
print_queue_item (const char *domain, json_t *o)
{
  json_t *quota = json_object_get (o, "quota");
  json_t *used = json_object_get (o, "used");

  printf ("%-12s %-10s share %.3f cpus %lld of quota %lld queued urgent %lld "
          "service %lld gang %lld batch %lld\n",
          get_string (o, "team"), domain,
          json_real_value (json_object_get (o, "dominant_share")),
          get_int (used, "cpus_m"), get_int (quota, "cpus_m"),
          get_int (o, "urgent"), get_int (o, "service"), get_int (o, "gang"),
          get_int (o, "batch"));
}

static void
print_domain_item (const char *domain, json_t *o)
{
  printf ("%-10s owner %-12s epoch %lld %s jobs %lld waiting %lld cpus %.2f "
          "memory %.2f accels %.2f\n",
          domain, get_string (o, "node"), get_int (o, "epoch"),
          json_is_true (json_object_get (o, "may_start")) ? "starts"
                                                          : "keeps only",
          get_int (o, "jobs"), get_int (o, "jobs_waiting"),
          json_real_value (json_object_get (o, "cpus_used")),
          json_real_value (json_object_get (o, "memory_used")),
          json_real_value (json_object_get (o, "accels_used")));
}

static void
print_wait_item (const char *domain, json_t *o)
{
  const char *cls;
  json_t *w;

  json_object_foreach (o, cls, w) if (get_int (w, "count")) printf (
      "%-10s %-8s started %lld p50 %.1f ms p99 %.1f ms\n", domain, cls,
      get_int (w, "count"), json_real_value (json_object_get (w, "p50_ms")),
      json_real_value (json_object_get (w, "p99_ms")));
}

static void
print_jobs (json_t *j)
{
  for_each_item (j, print_job_item);
}

static void
print_workers (json_t *j)
{
  for_each_item (j, print_worker_item);
}

static void
print_queues (json_t *j)
{
  for_each_item (j, print_queue_item);
}

static void
print_domains (json_t *j)
{
  for_each_item (j, print_domain_item);
}

static void
print_waits (json_t *j)
{
  for_each_item (j, print_wait_item);
}

static void
print_nodes (json_t *j)
{
  size_t i;
  json_t *o;

  json_array_foreach (j, i, o) printf (
      "%-12s %-10s %-10s %-22s revision %lld%s cpu %lld permille "
      "memory %lld KiB net %lld B\n",
      get_string (o, "node"), get_string (o, "domain"), get_string (o, "role"),
      get_string (o, "address"), get_int (o, "revision"),
      get_int (o, "active") ? " owner" : "", get_int (o, "cpu_permille"),
      get_int (o, "rss_kb"), get_int (o, "net_bytes"));
}

static void
print_done (json_t *j)
{
  if (json_object_get (j, "id"))
    printf ("%lld %s\n", get_int (j, "id"), get_string (j, "domain"));
  else if (json_object_get (j, "revision"))
    printf ("%s revision %lld\n", get_string (j, "status"),
            get_int (j, "revision"));
  else
    puts ("ok");
}

/* ---- commands ---- */

static int
get_and_print (const char *path, void (*print) (json_t *))
{
  response_t resp = send_request ("GET", path, NULL, NULL);

  return print_response (&resp, print);
}

/* Whether @v is a decimal number of at most 18 digits, which a long long
   holds. */
static int
is_number (const char *v)
{
  return *v && strspn (v, "0123456789") == strlen (v) && strlen (v) < 19;
}

static int
submit (int argc, char **argv)
{
  static const struct option longs[]
      = { { "name", required_argument, NULL, 0 },
          { "team", required_argument, NULL, 0 },
          { "class", required_argument, NULL, 0 },
          { "domain", required_argument, NULL, 0 },
          { "tasks", required_argument, NULL, 1 },
          { "cpus-m", required_argument, NULL, 1 },
          { "memory-mb", required_argument, NULL, 1 },
          { "accels", required_argument, NULL, 1 },
          { "runtime-s", required_argument, NULL, 1 },
          { "attempts", required_argument, NULL, 1 },
          { "id", required_argument, NULL, 1 },
          { NULL, 0, NULL, 0 } };
  static const char *const keys[]
      = { "name",      "team",         "class",     "domain",
          "tasks",     "cpus_m",       "memory_mb", "accels",
          "runtime_s", "max_attempts", "id" };
  json_t *j = json_object ();
  response_t resp;
  char *body;
  int i;
  int c;

  optind = 0;
  while ((c = getopt_long (argc, argv, "", longs, &i)) >= 0)
    {
      if (c == 0)
        json_object_set_new (j, keys[i], json_string (optarg));
      else if (c == 1 && is_number (optarg))
        json_object_set_new (j, keys[i], json_integer (atoll (optarg)));
      else
        {
          if (c == 1)
            fprintf (stderr, "glctl: --%s takes a number\n", longs[i].name);
          json_decref (j);
          return EXIT_USAGE;
        }
    }
  if (optind < argc)
    {
      fprintf (stderr, "glctl: what is \"%s\"?\n", argv[optind]);
      json_decref (j);
      return EXIT_USAGE;
    }
  body = json_dumps (j, JSON_COMPACT);
  resp = send_request ("POST", "/v1/jobs", body, NULL);
  free (body);
  json_decref (j);
  return print_response (&resp, print_done);
}

/* The first CONFIG_MAX bytes of a file, of standard input if @path is "-", as
   malloc'd text; NULL if it cannot be opened or memory is out. */
static char *
read_file (const char *path)
{
  FILE *f = strcmp (path, "-") ? fopen (path, "r") : stdin;
  char *text = calloc (1, CONFIG_MAX + 1);
  size_t n;

  if (!f || !text)
    {
      free (text);
      return NULL;
    }
  n = fread (text, 1, CONFIG_MAX, f);
  text[n] = 0;
  if (f != stdin)
    fclose (f);
  return text;
}

static int
config (int argc, char **argv)
{
  static const struct option longs[]
      = { { "site", required_argument, NULL, 's' },
          { "author", required_argument, NULL, 'a' },
          { "revision", required_argument, NULL, 'r' },
          { NULL, 0, NULL, 0 } };
  const char *site = "base";
  const char *author = NULL;
  const char *revision = NULL;
  char path[256];
  response_t resp;
  char *text;
  int check;
  int c;

  if (argc < 2)
    return get_and_print ("/v1/config", print_json);
  check = !strcmp (argv[1], "check");
  optind = 0;
  argc--;
  argv++;
  while ((c = getopt_long (argc, argv, "", longs, NULL)) >= 0)
    {
      if (c == 's')
        site = optarg;
      else if (c == 'a')
        author = optarg;
      else if (c == 'r' && is_number (optarg))
        revision = optarg;
      else
        return EXIT_USAGE;
    }
  if ((!check && strcmp (argv[0], "apply")) || optind + 1 != argc)
    {
      usage (stderr);
      return EXIT_USAGE;
    }
  text = read_file (argv[optind]);
  if (!text)
    {
      fprintf (stderr, "glctl: cannot read %s\n", argv[optind]);
      return EXIT_USAGE;
    }
  snprintf (path, sizeof path, "/v1/config/%.100s?check=%d%s%s", site, check,
            revision ? "&revision=" : "", revision ? revision : "");
  resp = send_request ("PUT", path, text, author);
  free (text);
  return print_response (&resp, print_done);
}

/* Send a request with @method for one job and print the response. */
static int
job_request (const char *method, const char *id, void (*print) (json_t *))
{
  char path[64];
  response_t resp;

  if (!is_number (id))
    {
      fprintf (stderr, "glctl: \"%s\" is not a job number\n", id);
      return EXIT_USAGE;
    }
  snprintf (path, sizeof path, "/v1/jobs/%s", id);
  resp = send_request (method, path, NULL, NULL);
  return print_response (&resp, print);
}

static int
cordon (const char *worker, int on)
{
  char path[160];
  response_t resp;

  snprintf (path, sizeof path, "/v1/cordon/%.100s?on=%d", worker, on);
  resp = send_request ("POST", path, NULL, NULL);
  return print_response (&resp, print_done);
}

/* Run the command argv[0]; returns the exit status. */
static int
run_command (int argc, char **argv)
{
  const char *cmd = argv[0];

  if (!strcmp (cmd, "submit"))
    return submit (argc, argv);
  if (!strcmp (cmd, "config"))
    return config (argc, argv);
  if (argc == 1 && !strcmp (cmd, "jobs"))
    return get_and_print ("/v1/jobs", print_jobs);
  if (argc == 1 && !strcmp (cmd, "workers"))
    return get_and_print ("/v1/workers", print_workers);
  if (argc == 1 && !strcmp (cmd, "queues"))
    return get_and_print ("/v1/queues", print_queues);
  if (argc == 1 && !strcmp (cmd, "domains"))
    return get_and_print ("/v1/summary", print_domains);
  if (argc == 1 && !strcmp (cmd, "waits"))
    return get_and_print ("/v1/waits", print_waits);
  if (argc == 1 && !strcmp (cmd, "nodes"))
    return get_and_print ("/v1/nodes", print_nodes);
  if (argc == 2 && !strcmp (cmd, "job"))
    return job_request ("GET", argv[1], print_job);
  if (argc == 2 && !strcmp (cmd, "why"))
    return job_request ("GET", argv[1], print_why);
  if (argc == 2 && !strcmp (cmd, "cancel"))
    return job_request ("DELETE", argv[1], print_done);
  if (argc == 2 && !strcmp (cmd, "cordon"))
    return cordon (argv[1], 1);
  if (argc == 2 && !strcmp (cmd, "uncordon"))
    return cordon (argv[1], 0);
  usage (stderr);
  return EXIT_USAGE;
}

int
main (int argc, char **argv)
{
  static const struct option longs[]
      = { { "admin", required_argument, NULL, 'a' },
          { "json", no_argument, NULL, 'j' },
          { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'V' },
          { NULL, 0, NULL, 0 } };
  int rc;
  int c;

  if (getenv ("GL_ADMIN"))
    admin_addr = getenv ("GL_ADMIN");
  while ((c = getopt_long (argc, argv, "+a:jhV", longs, NULL)) >= 0)
    switch (c)
      {
      case 'a':
        admin_addr = optarg;
        break;
      case 'j':
        as_json = 1;
        break;
      case 'h':
        usage (stdout);
        return 0;
      case 'V':
        printf ("glctl %s\n", GL_VERSION_STRING);
        return 0;
      default:
        return EXIT_USAGE;
      }
  if (optind == argc)
    {
      usage (stderr);
      return EXIT_USAGE;
    }
  http = httpc_new (0);
  if (!http)
    return EXIT_UNKNOWN;
  rc = run_command (argc - optind, argv + optind);
  httpc_free (http);
  return rc;
}
