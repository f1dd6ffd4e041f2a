/* logs.h -- one structured line per event, on standard output */
#ifndef GL_LOGS_H
#define GL_LOGS_H

/**
 * logs_open - begin logging
 * @program: name in front of each line
 * @node: name of this VM
 *
 * A line reads "time level program node: event key=value ..."; times are
 * UTC.  Lines are buffered and never waited for.  Returns 0, or -1 when the
 * library cannot be set up.
 */
int logs_open (const char *program, const char *node);
/** logs_set_batching - @on: write only full batches; the caller flushes the
 * rest */
void logs_set_batching (int on);
/** logs_flush - write what is buffered, as far as it goes without waiting */
void logs_flush (void);
/** logs_dropped - lines that found no room so far */
unsigned long logs_dropped (void);
/** logs_close - flush and release */
void logs_close (void);
void log_info (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
void log_error (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

#endif
