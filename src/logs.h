/* logs.h -- structured log, one line per event, on standard output */
#ifndef GL_LOGS_H
#define GL_LOGS_H

/**
 * logs_open - begin logging
 * @program: name of the program, printed in each line
 * @node: name of this VM, printed in each line
 *
 * A line reads "time level program node: event key=value ..." with a time in
 * UTC.  Logging never blocks: lines are buffered, and dropped when the reader
 * of standard output is too slow.  Lines before logs_open are discarded.
 * Returns 0, or -1 when log4c cannot be set up.
 */
int logs_open (const char *program, const char *node);
/** logs_set_batching - @on: lines stay in the buffer until enough have
    gathered, one is an error, or the caller calls logs_flush; else each is
    written at once */
void logs_set_batching (int on);
/** logs_flush - write as much of the buffer as can be written without
    blocking */
void logs_flush (void);
/** logs_dropped - number of lines dropped since the start */
unsigned long logs_dropped (void);
/** logs_close - flush and release the log */
void logs_close (void);
/** log_info, log_error - log one line; @fmt starts with the event's name. Text
    beyond 799 bytes is cut off. */
void log_info (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
void log_error (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

#endif
