/*
 * load.c -- closed-loop HTTP load generator
 *
 *   bench-load [--conns N] [--seconds S] [--keys PREFIX] URL...
 *
 * Each connection sends its next request once the last one has ended, and goes
 * through the URLs in round-robin order.  With --keys, the requests are POSTs,
 * each with an idempotency key of its own.  Prints the number of requests,
 * their rate, latencies and statuses.  Only URLs of the loopback interface are
 * accepted.
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
/* HTTP statuses are below this. */
#define STATUS_MAX 600
/* Pause after a request that got no response, microseconds. */
#define RETRY_PAUSE_US 10000

/**
 * struct conn_t - a connection and its thread
 * @number: its number, from 0
 * @latency: times of the requests that got a response
 * @statuses: responses by HTTP status
 * @failed: requests that got no response
 */
typedef struct
{
  pthread_t thread;
  int number;
  hist_t latency;
  unsigned long statuses[STATUS_MAX];
  unsigned long failed;
} conn_t;

static char **urls;
static int nurls;
static const char *key_prefix;
static gl_ms_t end_at;
static conn_t conns[CONNS_MAX];

static size_t
discard_body (char *data, size_t size, size_t n, void *ctx)
{
  (void)data;
  (void)ctx;
  return size * n;
}

static void
send_request (conn_t *c, CURL *curl, unsigned long i)
{
  struct curl_slist *headers = NULL;
  char key[96];
  double seconds = 0;
  long status = 0;
  CURLcode rc;

  curl_easy_setopt (curl, CURLOPT_URL, urls[i % (unsigned long)nurls]);
  if (key_prefix)
    {
      snprintf (key, sizeof key, "Idempotency-Key: %s-%d-%lu", key_prefix,
                c->number, i);
      headers = curl_slist_append (NULL, key);
      curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, "notice");
    }
  rc = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (curl, CURLINFO_TOTAL_TIME, &seconds);
  curl_slist_free_all (headers);
  if (rc || status < 0 || status >= STATUS_MAX)
    {
      c->failed++;
      usleep (RETRY_PAUSE_US);
      return;
    }
  c->statuses[status]++;
  hist_add (&c->latency, seconds * 1000);
}

static void *
run_connection (void *ctx)
{
  conn_t *c = ctx;
  CURL *curl = curl_easy_init ();

  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, 15000L);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  for (unsigned long i = (unsigned long)c->number; clock_ms () < end_at; i++)
    send_request (c, curl, i);
  curl_easy_cleanup (curl);
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
      total += conns[i].latency.n;
      if (!conns[i].latency.h)
        continue;
      /* Allocates the bins the first time; adds a sample of 0 ms each time. */
      hist_add (&all, 0);
      gsl_histogram_add (all.h, conns[i].latency.h);
      all.n += conns[i].latency.n;
    }
  printf ("%lu requests, %.0f a second, p50 %.2f ms, p99 %.2f ms, no answer "
          "%lu,",
          total, (double)total / seconds, hist_quantile (&all, 0.5),
          hist_quantile (&all, 0.99), failed);
  for (int status = 0; status < STATUS_MAX; status++)
    {
      unsigned long count = 0;
      for (int i = 0; i < n; i++)
        count += conns[i].statuses[status];
      if (count)
        printf (" %d: %lu", status, count);
    }
  putchar ('\n');
  hist_destroy (&all);
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
      key_prefix = optarg;
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
      pthread_create (&conns[i].thread, NULL, run_connection, &conns[i]);
    }
  for (int i = 0; i < n; i++)
    pthread_join (conns[i].thread, NULL);
  report (n, seconds);
  for (int i = 0; i < n; i++)
    hist_destroy (&conns[i].latency);
  return 0;
}
