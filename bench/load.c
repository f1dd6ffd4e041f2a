/*
 * load.c -- closed-loop load on HTTP addresses, for measurements
 *
 *   bench-load [--conns N] [--seconds S] [--keys PREFIX] URL...
 *
 * Each connection sends its next request when the last was answered, to the
 * URLs in turn.  With --keys it posts, each time with a new idempotency key.
 * Prints requests, statuses and times; loopback only.
 */
#include <curl/curl.h>
#include <getopt.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "loop.h"
#include "metrics.h"

#define CONNS_MAX 256
#define CODES 600
/* Pause after a request that got no answer. */
#define FAILED_US 10000

typedef struct
{
  pthread_t thread;
  int number;
  hist_t took;
  unsigned long codes[CODES];
  unsigned long failed;
} conn_t;

static char **urls;
static int nurls;
static const char *keys;
static gl_ms_t end_at;
static conn_t conns[CONNS_MAX];

static size_t
drop (char *data, size_t size, size_t n, void *ctx)
{
  (void)data;
  (void)ctx;
  return size * n;
}

static void
one_request (conn_t *c, CURL *e, unsigned long i)
{
  struct curl_slist *headers = NULL;
  char key[96];
  double took = 0;
  long code = 0;
  CURLcode rc;

  curl_easy_setopt (e, CURLOPT_URL, urls[i % (unsigned long)nurls]);
  if (keys)
    {
      snprintf (key, sizeof key, "Idempotency-Key: %s-%d-%lu", keys, c->number,
                i);
      headers = curl_slist_append (NULL, key);
      curl_easy_setopt (e, CURLOPT_HTTPHEADER, headers);
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, "notice");
    }
  rc = curl_easy_perform (e);
  curl_easy_getinfo (e, CURLINFO_RESPONSE_CODE, &code);
  curl_easy_getinfo (e, CURLINFO_TOTAL_TIME, &took);
  curl_slist_free_all (headers);
  if (rc || code < 0 || code >= CODES)
    {
      c->failed++;
      usleep (FAILED_US);
      return;
    }
  c->codes[code]++;
  hist_add (&c->took, took * 1000);
}

static void *
run (void *ctx)
{
  conn_t *c = ctx;
  CURL *e = curl_easy_init ();

  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, drop);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, 15000L);
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  for (unsigned long i = (unsigned long)c->number; clock_ms () < end_at; i++)
    one_request (c, e, i);
  curl_easy_cleanup (e);
  return NULL;
}

static void
report (int n, int seconds)
{
  hist_t all = { 0 };
  unsigned long total = 0;
  unsigned long failed = 0;

  for (int i = 0; i < n; i++)
    {
      failed += conns[i].failed;
      total += conns[i].took.n;
      if (!conns[i].took.h)
        continue;
      hist_add (&all, 0);
      gsl_histogram_add (all.h, conns[i].took.h);
      all.n += conns[i].took.n;
    }
  printf ("%lu requests, %.0f a second, p50 %.2f ms, p99 %.2f ms, no answer "
          "%lu,",
          total, (double)total / seconds, hist_quantile (&all, 0.5),
          hist_quantile (&all, 0.99), failed);
  for (int c = 0; c < CODES; c++)
    {
      unsigned long k = 0;
      for (int i = 0; i < n; i++)
        k += conns[i].codes[c];
      if (k)
        printf (" %d: %lu", c, k);
    }
  putchar ('\n');
  hist_done (&all);
}

int
main (int argc, char **argv)
{
  static const struct option longs[]
      = { { "conns", required_argument, NULL, 'c' },
          { "seconds", required_argument, NULL, 's' },
          { "keys", required_argument, NULL, 'k' },
          { NULL, 0, NULL, 0 } };
  int n = 1;
  int seconds = 5;
  int c;

  while ((c = getopt_long (argc, argv, "c:s:k:", longs, NULL)) >= 0)
    if (c == 'c')
      n = atoi (optarg);
    else if (c == 's')
      seconds = atoi (optarg);
    else if (c == 'k')
      keys = optarg;
  urls = argv + optind;
  nurls = argc - optind;
  if (!nurls || n < 1 || n > CONNS_MAX || seconds < 1 || seconds > 600)
    {
      fprintf (stderr,
               "usage: %s [--conns N] [--seconds S] [--keys PREFIX] "
               "URL...\n",
               argv[0]);
      return 2;
    }
  for (int i = 0; i < nurls; i++)
    if (strncmp (urls[i], "http://127.0.0.1:", 17))
      {
        fprintf (stderr, "%s: loopback only\n", argv[0]);
        return 2;
      }
  curl_global_init (CURL_GLOBAL_ALL);
  end_at = clock_ms () + (gl_ms_t)seconds * 1000;
  for (int i = 0; i < n; i++)
    {
      conns[i].number = i;
      pthread_create (&conns[i].thread, NULL, run, &conns[i]);
    }
  for (int i = 0; i < n; i++)
    pthread_join (conns[i].thread, NULL);
  report (n, seconds);
  for (int i = 0; i < n; i++)
    hist_done (&conns[i].took);
  return 0;
}
