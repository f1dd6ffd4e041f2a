/* cellcount.h -- counters of a cell */
#ifndef GL_CELLCOUNT_H
#define GL_CELLCOUNT_H

#include <stdint.h>

#define CELL_COUNTERS(X)                                                      \
  X (accepted, "jobs accepted and written")                                   \
  X (refused, "submissions refused")                                          \
  X (key_missing, "requests without a key, refused")                          \
  X (key_unknown, "requests with an unknown key, refused")                    \
  X (key_outdated, "requests refused since the configuration is too old")     \
  X (conf_fetches, "configurations asked of other VMs")                       \
  X (conf_fetches_failed, "those that did not arrive")                        \
  X (conf_sent, "configurations sent to other VMs")                           \
  X (conf_busy, "configurations not sent, for others that were")              \
  X (other_team, "requests for a job of another team")                        \
  X (completed, "jobs completed")                                             \
  X (failed, "jobs failed")                                                   \
  X (cancelled, "jobs cancelled")                                             \
  X (starts, "tasks started")                                                 \
  X (starts_held, "times that starts waited for the link")                    \
  X (start_unsure, "starts without an answer")                                \
  X (start_refused, "starts refused by workers")                              \
  X (ends_done, "runs ended well")                                            \
  X (ends_failed, "runs that failed")                                         \
  X (ends_stopped, "runs stopped")                                            \
  X (ends_lost, "runs lost with their worker")                                \
  X (crash_suspects, "runs suspected of a crash of their worker")             \
  X (crash_isolated, "starts of suspect tasks")                               \
  X (crash_cleared, "suspect tasks that survived a start")                    \
  X (crash_failed, "jobs failed for crashes of workers")                      \
  X (restarts, "workers that have restarted under their id")                  \
  X (strays, "unknown runs stopped")                                          \
  X (looks, "looks at workers")                                               \
  X (looks_failed, "looks without an answer")                                 \
  X (txns, "transactions")                                                    \
  X (txns_failed, "transactions refused or unsure")                           \
  X (writes_invalid, "writes that the store refuses for what they hold")      \
  X (consults, "consultations")                                               \
  X (consulted, "workers named in consultations")                             \
  X (placements_changed, "tasks placed elsewhere to avoid interference")      \
  X (consults_failed, "consultations without an answer")                      \
  X (consults_unsent, "consultations not sent for want of memory")            \
  X (scans, "searches of all workers for room")                               \
  X (approved, "workers approved")                                            \
  X (forwards, "requests forwarded to the owner")                             \
  X (no_owner, "requests refused for want of an owner")                       \
  X (takeovers, "times this VM took the cell over")                           \
  X (yields, "times this VM handed the cell over to a stronger one")          \
  X (deposed, "times this VM lost the cell")

/** struct ccounters_t - counters since the start of the process, by the names
    in CELL_COUNTERS */
typedef struct
{
#define X(name, help) uint64_t name;
  CELL_COUNTERS (X)
#undef X
} ccounters_t;

#endif
