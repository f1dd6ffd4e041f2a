/* conflint.h -- checks a configuration before it comes into force */
#ifndef GL_CONFLINT_H
#define GL_CONFLINT_H

#include "cell.h"

/**
 * enum lint_level_t - what a finding means
 * @LINT_ERROR: the entry has no effect, or another one than it says
 * @LINT_WARNING: it is valid, and hardly meant
 * @LINT_DIFFERENCE: it differs from the configuration in force
 */
typedef enum
{
  LINT_ERROR = 0,
  LINT_WARNING,
  LINT_DIFFERENCE
} lint_level_t;

/**
 * lint_fn_t - takes one finding
 * @place: the entry, such as "queue NAME" or "team NAME"
 * @text: what is wrong or different; never a key
 */
typedef void (*lint_fn_t) (void *ctx, lint_level_t level, const char *place,
                           const char *text);

/**
 * conflint_check - report entries that can never match, and limits that
 * contradict each other
 * @services, @nservices: names of the services of the configuration
 * @task: resources of a usual task; 0 if not known
 */
void conflint_check (const cell_conf_t *conf, const char *const *services,
                     int nservices, const gl_res_t *task, lint_fn_t fn,
                     void *ctx);
/** conflint_compare - report what @conf changes of @in_force */
void conflint_compare (const cell_conf_t *in_force, const cell_conf_t *conf,
                       lint_fn_t fn, void *ctx);

#endif
