/*
 * glctl.c -- the operator's command line over the administration API
 *
 * Exit status: 0 done, 1 refused, 2 usage, 3 come back later, 4 not found,
 * 5 no answer or outcome unknown.
 */
#include <getopt.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "httpc.h"

#define EXIT_REFUSED 1
#define EXIT_USAGE 2
#define EXIT_LATER 3
#define EXIT_NOT_FOUND 4
#define EXIT_UNKNOWN 5
#define TIMEOUT_MS 8000

static const char *admin_addr = "127.0.0.1:7100";
static int as_json;
static httpc_t *http;

typedef struct
{
  int status;
  json_t *json;
} answer_t;

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

/* ---- talking to the API ---- */

static int
exit_status (const answer_t *a)
{
  if (a->status == 200)
    return 0;
  if (a->status == 0 || a->status == 504)
    return EXIT_UNKNOWN;
  if (a->status == 503)
    return EXIT_LATER;
  return a->status == 404 ? EXIT_NOT_FOUND : EXIT_REFUSED;
}

static answer_t
call (const char *method, const char *path, const char *body,
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
  answer_t a = { 0 };

  snprintf (url, sizeof url, "http://%s%s", admin_addr, path);
  snprintf (from, sizeof from, "From: %.100s", author ? author : "glctl");
  if (!httpc_perform (http, &r, &res))
    {
      a.status = res.status;
      a.json = json_loadb (res.body ? res.body : "", res.len, 0, NULL);
    }
  free (res.body);
  return a;
}

static void
print_json (json_t *j)
{
  char *text = json_dumps (j, JSON_INDENT (2) | JSON_ENCODE_ANY);

  puts (text ? text : "null");
  free (text);
}

static void
print_error (const answer_t *a)
{
  const char *code = json_string_value (json_object_get (a->json, "error"));
  const char *reason = json_string_value (json_object_get (a->json, "reason"));
  json_int_t retry
      = json_integer_value (json_object_get (a->json, "retry_ms"));

  fprintf (stderr, "glctl: %s: %s", code ? code : "unreachable",
           reason ? reason : admin_addr);
  if (retry)
    fprintf (stderr, "; come back in %lld ms", (long long)retry);
  fputc ('\n', stderr);
}

/* Print the answer by @print, or as JSON, or as an error. */
static int
finish (answer_t *a, void (*print) (json_t *))
{
  int rc = exit_status (a);

  if (as_json && a->json)
    print_json (a->json);
  else if (rc)
    print_error (a);
  else
    print (a->json);
  json_decref (a->json);
  return rc;
}

/* ---- lines ---- */

static const char *
text_of (json_t *o, const char *key)
{
  const char *v = json_string_value (json_object_get (o, key));

  return v ? v : "";
}

static long long
int_of (json_t *o, const char *key)
{
  return json_integer_value (json_object_get (o, key));
}

static void
print_job_line (json_t *j)
{
  printf ("%-15lld %-20s %-12s %-8s %-15s %-8s tasks %lld waiting %lld live "
          "%lld ended %lld failed %lld\n",
          int_of (j, "id"), text_of (j, "name"), text_of (j, "team"),
          text_of (j, "class"), text_of (j, "state"), text_of (j, "domain"),
          int_of (j, "tasks"), int_of (j, "waiting"), int_of (j, "live"),
          int_of (j, "ended"), int_of (j, "failed"));
}

static void
print_job (json_t *j)
{
  size_t i;
  json_t *t;

  print_job_line (j);
  json_array_foreach (json_object_get (j, "task_list"), i, t) printf (
      "  task %lld %s attempt %lld worker %s for %lld ms %s\n",
      int_of (t, "index"), text_of (t, "state"), int_of (t, "attempt"),
      text_of (t, "worker"), int_of (t, "since_ms"), text_of (t, "outcome"));
  if (int_of (j, "waiting"))
    printf ("  why: %s\n", text_of (j, "why"));
}

static void
print_why (json_t *j)
{
  if (int_of (j, "waiting"))
    printf ("%s\n", text_of (j, "why"));
  else
    printf ("it does not wait: %s\n", text_of (j, "state"));
}

/* Call @line for each element of each domain's list. */
static void
each (json_t *domains, void (*line) (const char *, json_t *))
{
  const char *domain;
  json_t *list;
  json_t *o;
  size_t i;

  json_object_foreach (domains, domain, list)
  {
    if (json_is_array (list))
      json_array_foreach (list, i, o) line (domain, o);
    else
      line (domain, list);
  }
}

static void
job_line (const char *domain, json_t *o)
{
  (void)domain;
  print_job_line (o);
}

static void
worker_line (const char *domain, json_t *o)
{
  json_t *total = json_object_get (o, "total");
  json_t *used = json_object_get (o, "used");

  printf (
      "%-20s %-10s %-12s %-7s %s%s%s%s tasks %lld cpus %lld/%lld memory "
      "%lld/%lld accels %lld/%lld\n",
      text_of (o, "name"), domain, text_of (o, "rack"), text_of (o, "state"),
      json_is_true (json_object_get (o, "listed")) ? "" : "unlisted ",
      json_is_true (json_object_get (o, "leaving")) ? "leaving " : "",
      json_is_true (json_object_get (o, "cordoned")) ? "cordoned " : "",
      json_is_true (json_object_get (o, "probation")) ? "probation " : "",
      int_of (o, "tasks"), int_of (used, "cpus_m"), int_of (total, "cpus_m"),
      int_of (used, "memory_mb"), int_of (total, "memory_mb"),
      int_of (used, "accels"), int_of (total, "accels"));
}

static void
queue_line (const char *domain, json_t *o)
{
  json_t *quota = json_object_get (o, "quota");
  json_t *used = json_object_get (o, "used");

  printf ("%-12s %-10s share %.3f cpus %lld of quota %lld queued urgent %lld "
          "service %lld gang %lld batch %lld\n",
          text_of (o, "team"), domain,
          json_real_value (json_object_get (o, "dominant_share")),
          int_of (used, "cpus_m"), int_of (quota, "cpus_m"),
          int_of (o, "urgent"), int_of (o, "service"), int_of (o, "gang"),
          int_of (o, "batch"));
}

static void
domain_line (const char *domain, json_t *o)
{
  printf ("%-10s owner %-12s epoch %lld %s jobs %lld waiting %lld cpus %.2f "
          "memory %.2f accels %.2f\n",
          domain, text_of (o, "node"), int_of (o, "epoch"),
          json_is_true (json_object_get (o, "may_start")) ? "starts"
                                                          : "keeps only",
          int_of (o, "jobs"), int_of (o, "jobs_waiting"),
          json_real_value (json_object_get (o, "cpus_used")),
          json_real_value (json_object_get (o, "memory_used")),
          json_real_value (json_object_get (o, "accels_used")));
}

static void
wait_line (const char *domain, json_t *o)
{
  const char *cls;
  json_t *w;

  json_object_foreach (o, cls, w) if (int_of (w, "count")) printf (
      "%-10s %-8s started %lld p50 %.1f ms p99 %.1f ms\n", domain, cls,
      int_of (w, "count"), json_real_value (json_object_get (w, "p50_ms")),
      json_real_value (json_object_get (w, "p99_ms")));
}

static void
print_jobs (json_t *j)
{
  each (j, job_line);
}

static void
print_workers (json_t *j)
{
  each (j, worker_line);
}

static void
print_queues (json_t *j)
{
  each (j, queue_line);
}

static void
print_domains (json_t *j)
{
  each (j, domain_line);
}

static void
print_waits (json_t *j)
{
  each (j, wait_line);
}

static void
print_nodes (json_t *j)
{
  size_t i;
  json_t *o;

  json_array_foreach (j, i, o)
      printf ("%-12s %-10s %-10s %-22s revision %lld%s cpu %lld permille "
              "memory %lld KiB net %lld B\n",
              text_of (o, "node"), text_of (o, "domain"), text_of (o, "role"),
              text_of (o, "address"), int_of (o, "revision"),
              int_of (o, "active") ? " owner" : "", int_of (o, "cpu_permille"),
              int_of (o, "rss_kb"), int_of (o, "net_bytes"));
}

static void
print_done (json_t *j)
{
  if (json_object_get (j, "id"))
    printf ("%lld %s\n", int_of (j, "id"), text_of (j, "domain"));
  else if (json_object_get (j, "revision"))
    printf ("%s revision %lld\n", text_of (j, "status"),
            int_of (j, "revision"));
  else
    puts ("ok");
}

/* ---- commands ---- */

static int
get (const char *path, void (*print) (json_t *))
{
  answer_t a = call ("GET", path, NULL, NULL);

  return finish (&a, print);
}

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
  answer_t a;
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
  a = call ("POST", "/v1/jobs", body, NULL);
  free (body);
  json_decref (j);
  return finish (&a, print_done);
}

static char *
read_file (const char *path)
{
  FILE *f = strcmp (path, "-") ? fopen (path, "r") : stdin;
  char *text = calloc (1, 262145);
  size_t n;

  if (!f || !text)
    {
      free (text);
      return NULL;
    }
  n = fread (text, 1, 262144, f);
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
  answer_t a;
  char *text;
  int check;
  int c;

  if (argc < 2)
    return get ("/v1/config", print_json);
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
  a = call ("PUT", path, text, author);
  free (text);
  return finish (&a, print_done);
}

static int
on_job (const char *method, const char *id, void (*print) (json_t *))
{
  char path[64];
  answer_t a;

  if (!is_number (id))
    {
      fprintf (stderr, "glctl: \"%s\" is not a job number\n", id);
      return EXIT_USAGE;
    }
  snprintf (path, sizeof path, "/v1/jobs/%s", id);
  a = call (method, path, NULL, NULL);
  return finish (&a, print);
}

static int
cordon (const char *worker, int on)
{
  char path[160];
  answer_t a;

  snprintf (path, sizeof path, "/v1/cordon/%.100s?on=%d", worker, on);
  a = call ("POST", path, NULL, NULL);
  return finish (&a, print_done);
}

static int
run (int argc, char **argv)
{
  const char *cmd = argv[0];

  if (!strcmp (cmd, "submit"))
    return submit (argc, argv);
  if (!strcmp (cmd, "config"))
    return config (argc, argv);
  if (argc == 1 && !strcmp (cmd, "jobs"))
    return get ("/v1/jobs", print_jobs);
  if (argc == 1 && !strcmp (cmd, "workers"))
    return get ("/v1/workers", print_workers);
  if (argc == 1 && !strcmp (cmd, "queues"))
    return get ("/v1/queues", print_queues);
  if (argc == 1 && !strcmp (cmd, "domains"))
    return get ("/v1/summary", print_domains);
  if (argc == 1 && !strcmp (cmd, "waits"))
    return get ("/v1/waits", print_waits);
  if (argc == 1 && !strcmp (cmd, "nodes"))
    return get ("/v1/nodes", print_nodes);
  if (argc == 2 && !strcmp (cmd, "job"))
    return on_job ("GET", argv[1], print_job);
  if (argc == 2 && !strcmp (cmd, "why"))
    return on_job ("GET", argv[1], print_why);
  if (argc == 2 && !strcmp (cmd, "cancel"))
    return on_job ("DELETE", argv[1], print_done);
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
  rc = run (argc - optind, argv + optind);
  httpc_free (http);
  return rc;
}
