/*
 * logs.c -- one line per change of state, through log4c
 */
#include "logs.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <time.h>

static log4c_category_t *category;
static char who[128];

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
            ev->evt_priority <= LOG4C_PRIORITY_ERROR ? "error" : "info", who,
            ev->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type = { "gentianlatch", format_line };

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *ev)
{
  (void)appender;
  return fputs (ev->evt_rendered_msg, stderr) < 0;
}

static const log4c_appender_type_t appender_type
    = { "gentianlatch", NULL, append_line, NULL };

int
logs_open (const char *program, const char *node)
{
  log4c_layout_t *layout;
  log4c_appender_t *appender;

  snprintf (who, sizeof who, "%s %s", program, node);
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
