/*
 * logs.c -- structured log, one line per event, on standard output
 *
 * A line is formatted through log4c and appended to a buffer.  The buffer is
 * written after each line or, when batching, once it holds WRITE_BYTES, after
 * an error and when the caller flushes it.  Logging never waits for a reader:
 * only what the descriptor takes at once is written.  A line is dropped and
 * counted when the buffer is full or when this second has had its lines.
 */
#include "logs.h"

#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
/* A pipe that polls as writable takes this many bytes without blocking. */
#define WRITE_BYTES 4096
/* Most lines logged in one second; the rest of a burst would add no
   information. */
#define LINES_PER_SECOND 3000

static log4c_category_t *category;
/* "program node" in each line. */
static char origin[128];
/* Guards all that follows. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char buffer[BUFFER_BYTES];
static size_t buffered;
static unsigned long dropped;
static unsigned long dropped_reported;
static int batching;
static time_t current_second;
static unsigned int lines_this_second;

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *ev)
{
  static __thread char line[1024];
  char stamp[32];
  time_t t = ev->evt_timestamp.tv_sec;
  struct tm tm;

  (void)layout;
  gmtime_r (&t, &tm);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (line, sizeof line, "%s.%03ldZ %s %s: %s\n", stamp,
            (long)ev->evt_timestamp.tv_usec / 1000,
            ev->evt_priority <= LOG4C_PRIORITY_ERROR ? "error" : "info",
            origin, ev->evt_msg);
  return line;
}

static void
buffer_write (void)
{
  struct pollfd p = { .fd = STDOUT_FILENO, .events = POLLOUT };

  while (buffered && poll (&p, 1, 0) == 1 && (p.revents & POLLOUT))
    {
      size_t len = buffered < WRITE_BYTES ? buffered : WRITE_BYTES;
      ssize_t n = write (STDOUT_FILENO, buffer, len);

      if (n <= 0)
        return;
      buffered -= (size_t)n;
      memmove (buffer, buffer + n, buffered);
    }
}

/* 0, or -1 when the line does not fit. */
static int
buffer_add (const char *line)
{
  size_t len = strlen (line);

  if (len > BUFFER_BYTES - buffered)
    return -1;
  memcpy (buffer + buffered, line, len);
  buffered += len;
  return 0;
}

/* Logs how many lines were dropped since the last report, with "-" for the
   time, if there is room. */
static void
report_dropped (void)
{
  char line[200];

  if (dropped == dropped_reported)
    return;
  snprintf (line, sizeof line,
            "- info %s: lines_dropped count=%lu total=%lu\n", origin,
            dropped - dropped_reported, dropped);
  if (!buffer_add (line))
    dropped_reported = dropped;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
  (void)appender;
  pthread_mutex_lock (&lock);
  if (ev->evt_timestamp.tv_sec != current_second)
    {
      current_second = ev->evt_timestamp.tv_sec;
      lines_this_second = 0;
      report_dropped ();
    }
  if (buffered > BUFFER_BYTES / 2)
    buffer_write ();
  if (++lines_this_second > LINES_PER_SECOND
      || buffer_add (ev->evt_rendered_msg))
    dropped++;
  if (!batching || buffered >= WRITE_BYTES
      || ev->evt_priority <= LOG4C_PRIORITY_ERROR)
    buffer_write ();
  pthread_mutex_unlock (&lock);
  return 0;
}

void
logs_flush (void)
{
  pthread_mutex_lock (&lock);
  buffer_write ();
  pthread_mutex_unlock (&lock);
}

void
logs_set_batching (int on)
{
  pthread_mutex_lock (&lock);
  batching = on;
  pthread_mutex_unlock (&lock);
}

unsigned long
logs_dropped (void)
{
  unsigned long n;

  pthread_mutex_lock (&lock);
  n = dropped;
  pthread_mutex_unlock (&lock);
  return n;
}

static const log4c_layout_type_t layout_type = { "gentianlatch", format_line };
static const log4c_appender_type_t appender_type
    = { "gentianlatch", NULL, append_line, NULL };

int
logs_open (const char *program, const char *node)
{
  log4c_layout_t *layout;
  log4c_appender_t *appender;

  snprintf (origin, sizeof origin, "%s %s", program, node);
  log4c_init ();
  log4c_layout_type_set (&layout_type);
  layout = log4c_layout_get ("gentianlatch");
  log4c_appender_type_set (&appender_type);
  appender = log4c_appender_get ("gentianlatch");
  category = log4c_category_get ("gentianlatch");
  if (!layout || !appender || !category)
    return -1;
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, LOG4C_PRIORITY_INFO);
  log4c_category_set_additivity (category, 0);
  return 0;
}

void
logs_close (void)
{
  logs_flush ();
  category = NULL;
  log4c_fini ();
}

static void
write_line (int priority, const char *fmt, va_list ap)
{
  char text[800];

  vsnprintf (text, sizeof text, fmt, ap);
  if (category)
    log4c_category_log (category, priority, "%s", text);
}

void
log_info (const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  write_line (LOG4C_PRIORITY_INFO, fmt, ap);
  va_end (ap);
}

void
log_error (const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  write_line (LOG4C_PRIORITY_ERROR, fmt, ap);
  va_end (ap);
}
