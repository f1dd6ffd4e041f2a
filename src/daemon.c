/*
 * daemon.c -- options, signals, status and configuration of all daemons
 *
 * Configuration is pulled: every PULL_MS, each daemon calls the administration
 * daemon of its own VM for a configuration later than the one it has.  The
 * request also carries the daemon's status, so that no separate message is
 * needed to show when a revision is in force everywhere.  When the local
 * daemon does not answer, those of the other VMs are called, one after the
 * other.
 */
#include "daemon.h"

#include <ck_pr.h>
#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include "logs.h"
#include "rpcc.h"

/* Interval between two requests for the configuration, milliseconds. */
#define PULL_MS 1000
/* Interval at which the wait between two requests checks for an early end,
   milliseconds. */
#define PULL_WAIT_STEP_MS 20
#define PULL_TIMEOUT_MS 800
/* Peers are called once more requests in a row than this to the local daemon
   have failed. */
#define LOCAL_FAILURES_MAX 2
/* Shortest span over which processor use is averaged, milliseconds. */
#define CPU_SPAN_MS 500

/* ---- options ---- */

static void
usage (const char *program)
{
  printf ("Usage: %s --settings FILE\n\n"
          "  -s, --settings FILE  the VM's settings (INI)\n"
          "  -c, --check          check the settings and exit\n"
          "  -h, --help           this text\n"
          "  -V, --version        version\n",
          program);
}

int
daemon_options (int argc, char **argv, const char *program,
                settings_t *settings)
{
  static const struct option longs[]
      = { { "settings", required_argument, NULL, 's' },
          { "check", no_argument, NULL, 'c' },
          { "help", no_argument, NULL, 'h' },
          { "version", no_argument, NULL, 'V' },
          { NULL, 0, NULL, 0 } };
  const char *path = NULL;
  char err[SETTINGS_ERROR_LEN];
  int check = 0;
  int c;

  while ((c = getopt_long (argc, argv, "s:chV", longs, NULL)) >= 0)
    switch (c)
      {
      case 's':
        path = optarg;
        break;
      case 'c':
        check = 1;
        break;
      case 'h':
        usage (program);
        return 1;
      case 'V':
        printf ("%s %s\n", program, GL_VERSION_STRING);
        return 1;
      default:
        return 3;
      }
  if (!path || optind < argc)
    {
      fprintf (stderr, "%s: --settings FILE is needed\n", program);
      return 3;
    }
  if (settings_load (settings, path, err))
    {
      fprintf (stderr, "%s: %s: %s\n", program, path, err);
      return 3;
    }
  if (check)
    return 1;
  if (logs_open (program, settings->node))
    {
      fprintf (stderr, "%s: cannot set up logging\n", program);
      return 3;
    }
  return 0;
}

/* ---- signals ---- */

/** struct signals_t - argument of the signal thread: the signals that it waits
    for, and the callback with its context */
typedef struct
{
  daemon_stop_fn_t stop;
  void *ctx;
  sigset_t set;
} signals_t;

static void *
signal_thread (void *ctx)
{
  signals_t *s = ctx;
  int sig;

  while (!sigwait (&s->set, &sig))
    s->stop (s->ctx);
  return NULL;
}

int
daemon_signals (daemon_stop_fn_t stop, void *ctx)
{
  static signals_t s;
  pthread_t t;

  s.stop = stop;
  s.ctx = ctx;
  sigemptyset (&s.set);
  sigaddset (&s.set, SIGTERM);
  sigaddset (&s.set, SIGINT);
  signal (SIGPIPE, SIG_IGN);
  if (pthread_sigmask (SIG_BLOCK, &s.set, NULL)
      || pthread_create (&t, NULL, signal_thread, &s))
    return -1;
  pthread_detach (t);
  return 0;
}

/* ---- status ---- */

/* Resident memory in KiB, or 0. */
static unsigned int
rss_kb (void)
{
  FILE *f = fopen ("/proc/self/statm", "r");
  unsigned long size = 0;
  unsigned long pages = 0;

  if (!f)
    return 0;
  if (fscanf (f, "%lu %lu", &size, &pages) != 2)
    pages = 0;
  fclose (f);
  return (unsigned int)(pages * (unsigned long)sysconf (_SC_PAGESIZE) / 1024);
}

/* Processor time of the process in ms, user and system. */
static double
cpu_ms (void)
{
  struct rusage u;

  getrusage (RUSAGE_SELF, &u);
  return (double)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1e3
         + (double)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e3;
}

void
daemon_status (gl_status_t *s, const settings_t *settings, const char *role)
{
  static double last_cpu;
  static gl_ms_t last_at;
  static unsigned int permille;
  gl_ms_t now = clock_ms ();
  double cpu = cpu_ms ();

  if (now > last_at + CPU_SPAN_MS)
    {
      if (last_at)
        permille = (unsigned int)((cpu - last_cpu) * 1000
                                  / (double)(now - last_at));
      last_cpu = cpu;
      last_at = now;
    }
  s->node = strdup (settings->node);
  s->domain = strdup (settings->domain);
  s->role = strdup (role);
  s->rpc = strdup ("");
  s->cpu_permille = permille;
  s->rss_kb = rss_kb ();
}

/* ---- configuration ---- */

/**
 * struct conf_pull - a thread that pulls the configuration
 * @settings, @on_conf, @fill, @ctx: arguments of conf_pull_new
 * @quit: the thread is to end
 * @ask_now: conf_pull_now was called since the last request
 * @revision: of the configuration last passed to @on_conf
 * @local: connection to the administration daemon of this VM
 * @peer: connection to that of another VM
 * @failures: requests in a row that the local daemon did not answer
 * @next_peer: index of the peer to call next, modulo their number; starts at
 * the process id, so that the daemons begin with different peers
 */
struct conf_pull
{
  const settings_t *settings;
  daemon_conf_fn_t on_conf;
  daemon_status_fn_t fill;
  void *ctx;
  pthread_t thread;
  unsigned int quit;
  unsigned int ask_now;
  uint64_t revision;
  rpcc_t local;
  rpcc_t peer;
  int failures;
  unsigned int next_peer;
};

/* Passes the configuration in @reply to on_conf if it is valid and later than
   the last one. */
static void
apply_text (conf_pull_t *p, const gl_conf_reply_t *reply)
{
  conf_doc_t doc = { 0 };
  gl_conf_t *conf = calloc (1, sizeof *conf);
  char err[CONF_ERROR_LEN];

  if (!conf || conf_doc_load (&doc, reply->text, strlen (reply->text)))
    {
      free (conf);
      return;
    }
  if (doc.revision > p->revision
      && !conf_doc_in_force (&doc, p->settings->site, conf, err))
    {
      ck_pr_store_64 (&p->revision, doc.revision);
      p->on_conf (p->ctx, conf);
    }
  else
    conf_free (conf);
  conf_doc_free (&doc);
}

/* Sends one request to the administration daemon at @addr; 0 on an answer. */
static int
ask_daemon (conf_pull_t *p, rpcc_t *r, const char *addr)
{
  gl_conf_ask_t in = { 0 };
  gl_conf_reply_t out = { 0 };
  gl_code_t rc;

  in.known_revision = p->revision;
  p->fill (p->ctx, &in.from);
  in.from.revision = p->revision;
  in.from.net_bytes = p->local.bytes + p->peer.bytes + in.from.net_bytes;
  rc = rpcc_call (r, addr, GL_CONF, (xdrproc_t)xdr_gl_conf_ask_t, &in,
                  (xdrproc_t)xdr_gl_conf_reply_t, &out, PULL_TIMEOUT_MS);
  xdr_free ((xdrproc_t)xdr_gl_conf_ask_t, (void *)&in);
  if (!rc && out.text && out.revision > p->revision)
    apply_text (p, &out);
  xdr_free ((xdrproc_t)xdr_gl_conf_reply_t, (void *)&out);
  return rc;
}

/* Waits until the period has passed, or conf_pull_now or conf_pull_free is
   called. */
static void
wait_period (conf_pull_t *p)
{
  for (int t = 0; t < PULL_MS; t += PULL_WAIT_STEP_MS)
    {
      if (ck_pr_load_uint (&p->quit) || ck_pr_fas_uint (&p->ask_now, 0))
        return;
      usleep (PULL_WAIT_STEP_MS * 1000);
    }
}

static void *
pull_thread (void *ctx)
{
  conf_pull_t *p = ctx;
  const settings_t *s = p->settings;

  while (!ck_pr_load_uint (&p->quit))
    {
      if (!ask_daemon (p, &p->local, s->admin_rpc))
        p->failures = 0;
      else if (++p->failures > LOCAL_FAILURES_MAX && s->npeers)
        ask_daemon (p, &p->peer,
                    s->peers[p->next_peer++ % (unsigned)s->npeers]);
      wait_period (p);
    }
  return NULL;
}

conf_pull_t *
conf_pull_new (const settings_t *settings, daemon_conf_fn_t on_conf,
               daemon_status_fn_t fill, void *ctx)
{
  conf_pull_t *p = calloc (1, sizeof *p);

  if (!p)
    return NULL;
  p->settings = settings;
  p->on_conf = on_conf;
  p->fill = fill;
  p->ctx = ctx;
  p->next_peer = (unsigned int)getpid ();
  if (pthread_create (&p->thread, NULL, pull_thread, p))
    {
      free (p);
      return NULL;
    }
  return p;
}

void
conf_pull_now (conf_pull_t *p)
{
  ck_pr_store_uint (&p->ask_now, 1);
}

void
conf_pull_free (conf_pull_t *p)
{
  if (!p)
    return;
  ck_pr_store_uint (&p->quit, 1);
  pthread_join (p->thread, NULL);
  rpcc_close (&p->local);
  rpcc_close (&p->peer);
  free (p);
}

uint64_t
conf_pull_revision (const conf_pull_t *p)
{
  return ck_pr_load_64 (&p->revision);
}
