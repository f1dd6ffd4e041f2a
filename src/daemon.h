/* daemon.h -- options, signals, status and configuration of all daemons */
#ifndef GL_DAEMON_H
#define GL_DAEMON_H

#include "conf.h"
#include "gl_rpc.h"
#include "loop.h"
#include "settings.h"

/** daemon_stop_fn_t - SIGTERM or SIGINT arrived; runs on the signal thread */
typedef void (*daemon_stop_fn_t) (void *ctx);
/** daemon_conf_fn_t - a later configuration arrived; takes ownership of @conf,
    which is malloc'd; called on the thread of the conf_pull_t */
typedef void (*daemon_conf_fn_t) (void *ctx, gl_conf_t *conf);
/** daemon_status_fn_t - fill in zeroed @status before it is sent; called on
   the thread of the conf_pull_t */
typedef void (*daemon_status_fn_t) (void *ctx, gl_status_t *status);

/**
 * daemon_options - parse the command line, load the settings and begin logging
 *
 * Returns 0 when the daemon is to run.  Otherwise the process is to exit with
 * the returned value less one: 1 after --help, --version and a successful
 * --check, 3 after an error, which was printed.
 */
int daemon_options (int argc, char **argv, const char *program,
                    settings_t *settings);
/**
 * daemon_signals - call @stop at each SIGTERM and SIGINT, ignore SIGPIPE
 *
 * To be called before any other thread is started, since the threads inherit
 * the blocked signals.  Returns 0, or -1 when the signal thread cannot be
 * started.
 */
int daemon_signals (daemon_stop_fn_t stop, void *ctx);
/** daemon_status - fill in names, role, processor use and memory of this
    process; rpc is set to "" and the rest stays */
void daemon_status (gl_status_t *s, const settings_t *settings,
                    const char *role);

/** typedef conf_pull_t - a thread that pulls the configuration */
typedef struct conf_pull conf_pull_t;

/**
 * conf_pull_new - start a thread that requests later configurations
 * @settings: must outlive the thread
 * @on_conf: called with each later configuration
 * @fill: fills in the status that is sent with each request
 *
 * The thread calls the administration daemon of this VM, and those of peers
 * when that one does not answer.  Returns NULL when out of memory or threads.
 */
conf_pull_t *conf_pull_new (const settings_t *settings,
                            daemon_conf_fn_t on_conf, daemon_status_fn_t fill,
                            void *ctx);
/** conf_pull_now - send the next request at once, since the status has
    changed; may be called on any thread */
void conf_pull_now (conf_pull_t *p);
/** conf_pull_free - stop the thread and free it; NULL is ignored */
void conf_pull_free (conf_pull_t *p);
/** conf_pull_revision - revision last passed to the callback, 0 before */
uint64_t conf_pull_revision (const conf_pull_t *p);

#endif
