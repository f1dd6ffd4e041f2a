/* daemon.h -- what all daemons share: options, signals, status, configuration
 */
#ifndef GL_DAEMON_H
#define GL_DAEMON_H

#include "conf.h"
#include "gl_rpc.h"
#include "loop.h"
#include "settings.h"

/** daemon_stop_fn_t, daemon_conf_fn_t - called on a thread of the daemon frame
 */
typedef void (*daemon_stop_fn_t) (void *ctx);
/** daemon_conf_fn_t takes over @conf, which malloc gave */
typedef void (*daemon_conf_fn_t) (void *ctx, gl_conf_t *conf);
/** daemon_status_fn_t - add role, addresses and figures to a status */
typedef void (*daemon_status_fn_t) (void *ctx, gl_status_t *status);

/**
 * daemon_options - parse the command line and load the settings
 *
 * Returns 0 to go on; otherwise exit with the value less one (--help and
 * --version give 1, errors 3).
 */
int daemon_options (int argc, char **argv, const char *program,
                    settings_t *settings);
/** daemon_signals - call @stop at SIGTERM or SIGINT; ignores SIGPIPE */
int daemon_signals (daemon_stop_fn_t stop, void *ctx);
/** daemon_status - fill in processor time, memory and names */
void daemon_status (gl_status_t *s, const settings_t *settings,
                    const char *role);

typedef struct conf_pull conf_pull_t;

/**
 * conf_pull_new - keep asking this VM's administration daemon, and peers
 * when it does not answer, for a later configuration than the one in force
 */
conf_pull_t *conf_pull_new (const settings_t *settings, daemon_conf_fn_t take,
                            daemon_status_fn_t fill, void *ctx);
/** conf_pull_now - ask now; the status has changed */
void conf_pull_now (conf_pull_t *p);
/** conf_pull_free - stop asking */
void conf_pull_free (conf_pull_t *p);
/** conf_pull_revision - revision last handed over */
uint64_t conf_pull_revision (const conf_pull_t *p);

#endif
