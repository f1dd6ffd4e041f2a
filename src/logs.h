/* logs.h -- one line per change of state, through log4c */
#ifndef GL_LOGS_H
#define GL_LOGS_H

/**
 * logs_open - begin logging to standard error
 * @program: name in front of each line
 * @node: name of this VM
 *
 * A line reads "time level program node: text"; times are UTC.
 * Returns 0, or -1 when the library cannot be set up.
 */
int logs_open (const char *program, const char *node);
/** logs_close - flush and release */
void logs_close (void);
void log_info (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));
void log_error (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

#endif
