/* cellmods.h -- functions that the modules of the cell offer each other;
   included by cellint.h, which has the types */
#ifndef GL_CELLMODS_H
#define GL_CELLMODS_H

/* cellfx.c */

/** cell_add_effect - append a zeroed effect; NULL when out of memory */
cell_effect_t *cell_add_effect (cell_t *c, cell_fxkind_t kind);
/** cell_age_ms - time since @at in ms for a log line; -1 if that is 0, for
    never */
long long cell_age_ms (const cell_t *c, gl_ms_t at);
/** cell_log - log one line, "event key=value ..." */
void cell_log (cell_t *c, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
/** cell_reply - answer request @tag and forget it; does nothing if there is no
    such request */
void cell_reply (cell_t *c, uint64_t tag, gl_code_t code, uint32_t retry_ms,
                 gl_phase_t phase, const char *reason);
/** cell_random - a random number of 64 bits */
uint64_t cell_random (const cell_t *c);
/** cell_new_tag - a tag for a call, higher than all before */
uint64_t cell_new_tag (cell_t *c);
/** handles_add, tags_add - append; -1 without memory */
int handles_add (handles_t *h, handle_t v);
int tags_add (tags_t *t, uint64_t v);
/** cell_strcpy - copy string @s into the array @d, truncated if too long */
#define cell_strcpy(d, s) snprintf (d, sizeof (d), "%s", s)

/* cellown.c */

/** own_key_changed - a key below gl/m/ has changed */
void own_key_changed (cell_t *c, const cell_event_t *ev);
void own_members_synced (cell_t *c);
/** own_txn_result - hands results that are not its own to the other modules
 */
void own_txn_result (cell_t *c, const cell_event_t *ev);
/** own_load_page - a page of the state that a new owner loads */
void own_load_page (cell_t *c, const cell_event_t *ev);
void own_heartbeat (cell_t *c, const cell_event_t *ev);
void own_heartbeat_ack (cell_t *c, const cell_event_t *ev);
void own_peer_down (cell_t *c, const char *addr);
void own_tick (void *ctx, gl_ms_t now);
void own_stop (cell_t *c, const cell_event_t *ev);
/** own_confirmed - a transaction sent at @sent has passed the ownership check
 */
void own_confirmed (cell_t *c, gl_ms_t sent);
/** own_may_renew - 1 if leases of workers may be renewed and tasks started: no
    other VM can have owned the cell for long */
int own_may_renew (const cell_t *c);
/** own_confirm_now - confirm the ownership without waiting for the next
    transaction */
void own_confirm_now (cell_t *c);
/** own_census_complete - all workers are accounted for; write this to the
    store, so that a successor need not wait for leases from owners before this
    one */
void own_census_complete (cell_t *c);
/** own_step_down - another VM owns the cell: forget the owner's state */
void own_step_down (cell_t *c, const char *why);
/** own_add_fence - add the check that this VM still owns the cell */
void own_add_fence (const cell_t *c, cell_txn_t *txn);
/** own_fence_failed - 1 if the transaction conflicted because another VM owns
    the cell */
int own_fence_failed (const cell_t *c, const cell_event_t *ev);
/** own_conflicting_item - present state of a key that a transaction checked
    and that conflicted; NULL if the key is absent */
const cell_item_t *own_conflicting_item (const cell_event_t *ev,
                                         const char *key);

/* cellreach.c */

/** reach_note_time - the clock advances to @now */
void reach_note_time (cell_t *c, gl_ms_t now);
/** reach_is_isolated - 1 if neither the store nor other failure domains can be
    reached, though other VMs may be served */
int reach_is_isolated (const cell_t *c);
/** reach_may_be_isolated - the same, after a shorter silence */
int reach_may_be_isolated (const cell_t *c);
/** reach_is_outside - 1 if the VM is in another domain, or all VMs are in one
 */
int reach_is_outside (const cell_t *c, const cvm_t *v);
/** reach_owner_is_heard - 1 if the owner's heartbeats arrive, so that a
   request forwarded to it is likely to be answered */
int reach_owner_is_heard (const cell_t *c);

/* cellsave.c */

/** save_job - add @j to the jobs to write; without a delay when @at_once */
void save_job (cell_t *c, cjob_t *j, int at_once);
/** save_flush - start transactions for the jobs that are due to be written */
void save_flush (cell_t *c);
void save_tick (void *ctx, gl_ms_t now);
/** save_txn_result - 1 if the result was for a transaction of this module */
int save_txn_result (cell_t *c, const cell_event_t *ev);
/** save_store_answered - the store has answered a call sent at @sent: earlier
    transactions that are overdue get no answer any more */
void save_store_answered (cell_t *c, gl_ms_t sent);
/** save_store_down - the last call failed and none has succeeded for a while:
    no new job can be accepted now */
int save_store_down (const cell_t *c);
/** save_idle - 1 when nothing is dirty or in flight */
int save_idle (const cell_t *c);
/** save_reset - forget all writes, when the ownership is lost */
void save_reset (cell_t *c);

/* cellconf.c */

/** conf_hear - the VM at @addr says that it has the configuration @version, 0
    if it does not say; this VM fetches a newer one.  @confirms: it is an owner
    whom the store answers.  @is_peer: what it has shows that this VM is not
   cut off. */
void conf_hear (cell_t *c, const char *addr, uint64_t version, int confirms,
                int is_peer);
/** conf_confirmed - the store has confirmed the configuration */
void conf_confirmed (cell_t *c);
/** conf_fetched - a fetch has ended */
void conf_fetched (cell_t *c, const cell_event_t *ev);
/** conf_applied - another configuration has come into force */
void conf_applied (cell_t *c);
/** conf_note_age - log once when the configuration gets old */
void conf_note_age (cell_t *c);
/** conf_is_outdated - 1 if callers' teams are not known for certain at @now:
    the configuration has teams, and this VM has heard neither the store nor
   the owner for too long */
int conf_is_outdated (const cell_t *c, gl_ms_t now);
/** conf_metrics - append the configuration's version and age */
void conf_metrics (const cell_t *c, text_t *t);

/* cellrecord.c */

/** records_add_tasks - make room for the records of @count more tasks of the
    job; -1 without memory */
int records_add_tasks (cjob_t *j, uint32_t count);
/** records_range - the tasks of the step, from *@from up to *@to, whose
   records are in @chunk */
void records_range (const cstep_t *s, size_t chunk, uint32_t *from,
                    uint32_t *to);
/** records_changed - the record of the task has changed with the job's present
    version */
void records_changed (cell_t *c, const cstep_t *s, uint32_t index);
/** records_are_written - 1 if all records of the job are in the store */
int records_are_written (const cjob_t *j);
/** records_next - find the first chunk from @from on that may be written now;
    1 if there is one */
int records_next (const cjob_t *j, size_t from, size_t *chunk);
/** records_written - the chunk is in the store, at @revision, with all changes
    up to @version */
void records_written (cjob_t *j, size_t chunk, uint64_t version,
                      uint64_t revision);
/** records_key - the key of a chunk */
void records_key (const char *id, size_t chunk, char key[CELL_KEY_SIZE]);
/** records_encode - the records of a chunk, malloc'd; -1 without memory, with
 *@value NULL or to be freed */
int records_encode (cell_t *c, const cjob_t *j, size_t chunk, char **value,
                    size_t *len);
/** records_found - the key of @chunk had a record of the task */
void records_found (cjob_t *j, const cstep_t *s, uint32_t index, size_t chunk);
/** records_load - take over the records of an earlier owner */
void records_load (cell_t *c, const cell_item_t *item);
/** records_remove_later - have a chunk removed; its job has no specification
    in the store */
void records_remove_later (cell_t *c, const char *id, size_t chunk);
/** records_job_ended - the job's result, and the removal of its first chunk,
    are in the store */
void records_job_ended (cell_t *c, const cjob_t *j);
/** records_remove - remove chunks that are to be removed */
void records_remove (cell_t *c);
/** records_txn_result - handle the result of a removal; 0 if it is not one */
int records_txn_result (cell_t *c, const cell_event_t *ev);
/** records_reset - forget the removals, when the cell is lost */
void records_reset (cell_t *c);

/* celljob.c */

/** cjob_find - the job with this id, or NULL */
cjob_t *cjob_find (cell_t *c, const char *id);
/** cjobs_waiting - count, by queue, accepted jobs of which no task has
    started; queues without any are left out; returns the number of rows */
int cjobs_waiting (const cell_t *c, cqueue_count_t v[CELL_QUEUES_MAX]);
/** cjob_new - a job of @spec, which is taken over; NULL without memory */
cjob_t *cjob_new (cell_t *c, gl_cell_job_t *spec);
void cjob_free (cell_t *c, cjob_t *j);
/** cjob_restore - set the job's tasks from the records of an earlier owner, as
    read from the key of @chunk */
void cjob_restore (cell_t *c, cjob_t *j, const gl_progress_t *p, size_t chunk);
/** cjobs_complete_gangs - take gangs with a member that is done as done: an
    earlier owner may have written the records of some members only */
void cjobs_complete_gangs (cell_t *c);
/** cjob_ready_steps - make due iterations and mark the steps whose
    predecessors are done as ready */
void cjob_ready_steps (cell_t *c, cjob_t *j);
/** cjob_finish - end the job with @phase and stop its tasks */
void cjob_finish (cell_t *c, cjob_t *j, gl_phase_t phase);
/** cjob_end_written - the job's end is in the store: answer the requests that
    wait for it */
void cjob_end_written (cell_t *c, cjob_t *j, gl_phase_t phase);
/** cjob_set_begun - a worker has reported a run of the job */
void cjob_set_begun (cjob_t *j);
cjob_t *cstep_job (cell_t *c, const cstep_t *s);
/** ctask_name - the task's name, JOB.ITERATION.STEP.INDEX */
void ctask_name (const cell_t *c, const cstep_t *s, uint32_t index,
                 char out[CELL_NAME_SIZE]);
/** ctask_find - the task with this name, with its step and number; NULL when
    it is not known */
ctask_t *ctask_find (cell_t *c, const char *name, cstep_t **step,
                     uint32_t *index);
/** ctask_failure_known - 1 if run @run is counted as a failure already */
int ctask_failure_known (const ctask_t *t, uint32_t run);
/** ctask_late_failure - count the failure of a run that is not the task's
    latest; returns the job's version that records it */
uint64_t ctask_late_failure (cell_t *c, cstep_t *s, uint32_t index,
                             uint32_t run);
/** ctasks_reserve - make room for @n more tasks on the worker; -1 without
    memory */
int ctasks_reserve (cworker_t *w, int n);
/** cstep_need - resources that one task of the step takes on a worker */
gl_res_t cstep_need (const cstep_t *s);
/** cstep_cap_room - how many tasks of the step, at most @max, its team's cap
    allows to start now */
int cstep_cap_room (cell_t *c, const cstep_t *s, int max);
/** cjobs_recount_shares - after a change of the configuration: count what the
    teams use, if there are any */
void cjobs_recount_shares (cell_t *c);
/** ctask_bind - bind the task to a worker, where it takes room from then on;
    @starts: it is to be started, and is not a run found there; -1 without
    memory, or if a start would bring its team above its cap */
int ctask_bind (cell_t *c, cstep_t *s, uint32_t index, int worker, int starts);
/** ctask_unbind - release the task's room on its worker */
void ctask_unbind (cell_t *c, cstep_t *s, uint32_t index);
/** ctask_requeue - unbind it and let it wait again */
void ctask_requeue (cell_t *c, cstep_t *s, uint32_t index);
/** cjobs_stop_partial_gangs - once the census is complete: stop the members of
    gangs of which others run nowhere, since no end may be left that tells what
    became of the gang */
void cjobs_stop_partial_gangs (cell_t *c);
/** ctask_ended - run @run on @worker has ended with @outcome and @checkpoint,
    which may be NULL; returns the job's version that records it */
uint64_t ctask_ended (cell_t *c, cstep_t *s, uint32_t index, int worker,
                      uint32_t run, cell_outcome_t outcome,
                      const char *checkpoint);
/** cstep_enqueue - add the step to those that wait for workers */
void cstep_enqueue (cell_t *c, cstep_t *s);
/** cjobs_tick - timer: make iterations that are due, forget old jobs */
void cjobs_tick (void *ctx, gl_ms_t now);

/* cellqueue.c */

/** queues_merge - take over the queues of @conf, which replaces the present
    configuration; returns how many are new */
int queues_merge (cell_t *c, const cell_conf_t *conf);
/** queue_append - append the job's team and what is known of its queue to its
    specification in @p; -1 without memory */
int queue_append (const cell_t *c, const cjob_t *j, cell_put_t *p);
/** queue_restore - learn of the queue of a job that was loaded from @item, in
    which its team follows the first @used bytes */
void queue_restore (cell_t *c, cjob_t *j, const cell_item_t *item,
                    size_t used);

/* cellteam.c */

/** cjob_team - index of the team with this name, which is added as a removed
    one if the configuration does not have it; -1 for "" or without memory */
int cjob_team (cell_t *c, const char *name);
/** cjob_team_at - index of the team in @item that follows the first @used
    bytes, -1 for none */
int cjob_team_at (cell_t *c, const cell_item_t *item, size_t used);
/** cjob_result_team - index of the team of a job's result in the store, -1 for
    none */
int cjob_result_team (cell_t *c, const cell_item_t *item);

/* cellwork.c */

/** cworkers_synced - the registrations are known as of ev->asked_at */
void cworkers_synced (cell_t *c, const cell_event_t *ev);
/** cworker_capacity_known - whether the worker's capacity was known shortly
    before, so that tasks may be started by it */
int cworker_capacity_known (const cell_t *c, const cworker_t *w);
/** cworker_answer - the result of a call to a worker */
void cworker_answer (cell_t *c, const cell_event_t *ev);
void cworkers_tick (void *ctx, gl_ms_t now);
/** cworkers_poll_tick - timer: poll the workers whose poll is due now, before
    the next cworkers_tick */
void cworkers_poll_tick (void *ctx, gl_ms_t now);
/** cworkers_take_over - as a new owner, begin the census of all workers;
   leases from earlier owners can last for @lease_ms */
void cworkers_take_over (cell_t *c, gl_ms_t lease_ms);
/** cworkers_reset - forget what an ownership has learnt of the workers, when
    it begins and when it is lost */
void cworkers_reset (cell_t *c);
/** cworker_poll_now - poll the worker at once, without a delayed answer */
void cworker_poll_now (cell_t *c, int worker);
/** cworkers_ack_saved - records were written: acknowledge the ends in them */
void cworkers_ack_saved (cell_t *c);
/** cworker_start, cworker_stop - start or stop the latest run of a task on
    the worker that it is bound to; @ticket may be NULL */
void cworker_start (cell_t *c, cstep_t *s, uint32_t index, const char *ticket);
void cworker_stop (cell_t *c, cstep_t *s, uint32_t index);
/** cworker_usable - 1 if new tasks may be started on it */
int cworker_usable (const cell_t *c, const cworker_t *w);

/** cworker_restarted - another incarnation has answered; what is bound to this
    one is lost once the ownership is confirmed */
void cworker_restarted (cell_t *c, cworker_t *w);
/** cworker_send_stop - stop a run, whether it is known or not */
void cworker_send_stop (cell_t *c, cworker_t *w, const char *task,
                        uint32_t run);
/** cworker_note_capacity - the worker has, or had, this capacity */
void cworker_note_capacity (cworker_t *w, const gl_res_t *capacity);
/** cworker_expect - set what is assumed of an incarnation that was added */
void cworker_expect (cell_t *c, cworker_t *w);

/* cellend.c */

/** end_listed - the worker lists an end in its answer to the poll @k */
void end_listed (cell_t *c, cworker_t *w, const cell_end_t *e,
                 const cell_wcall_t *k);
/** end_ack_written - acknowledge, in order, the ends whose effect is in the
    store, or whose job has ended; the next poll tells the worker */
void end_ack_written (cell_t *c, cworker_t *w);

/* cellcensus.c */

/** census_handover - what this owner leaves to its successor on releasing the
    cell, encoded and malloc'd; NULL without memory */
char *census_handover (cell_t *c, size_t *len);
/** census_learn_handover - what the last owner that released the cell has left
 */
void census_learn_handover (cell_t *c, const cell_item_t *item);
/** census_begin - begin the census of all workers as a new owner; leases from
    earlier owners can last for @lease_ms */
void census_begin (cell_t *c, gl_ms_t lease_ms);
/** census_shorten - leases from earlier owners can last for @lease_ms only */
void census_shorten (cell_t *c, gl_ms_t lease_ms);
/** census_expect - the census waits for the worker, which is not accounted for
 */
void census_expect (cell_t *c, cworker_t *w);
/** census_loaded - all records of workers have been read */
void census_loaded (cell_t *c);
/** census_set_heard - the worker has listed its runs */
void census_set_heard (cell_t *c, cworker_t *w);
/** census_set_accounted - it is now known what runs on the worker; once this
    holds for all workers, the census is complete */
void census_set_accounted (cell_t *c, cworker_t *w);
/** census_count_hidden - before a planning pass: count what may run without
    this owner's knowledge, for the caps of teams, and the capacity of the
    usable workers, for their shares */
void census_count_hidden (cell_t *c);
/** census_leases_ended - 1 if every lease that the worker can hold has ended:
    those sent by this owner by the worker's own clock, those of earlier owners
    by its lease_bound_at */
int census_leases_ended (const cell_t *c, const cworker_t *w);
/** census_lease_remaining - longest span for which a lease of this owner or of
    an earlier one can last on the worker, whether it answers or not */
gl_ms_t census_lease_remaining (const cell_t *c, const cworker_t *w);
/** census_open_foreign - until the worker is heard, calls to its former
    incarnations may give it leases */
void census_open_foreign (cell_t *c, cworker_t *w);
/** census_note_return - another incarnation, of which no more is known, has
    carried out a call to the worker, and has a lease from it */
void census_note_return (cell_t *c, cworker_t *w);
/** census_foreign_wall - when such leases have ended by the wall clock, for
   the worker's record; 0 if there are none */
uint64_t census_foreign_wall (const cell_t *c, const cworker_t *w);
/** census_learn_foreign - the worker's record says that they have by @wall */
void census_learn_foreign (cell_t *c, cworker_t *w, uint64_t wall);
/** census_log - log how many workers the census waits for, and the one that it
    may wait for longest, from time to time */
void census_log (cell_t *c);

/* cellmember.c */

/** member_vm_changed, member_process_changed - a VM's key has changed */
void member_vm_changed (cell_t *c, const cell_item_t *item, int removed);
void member_process_changed (cell_t *c, const cell_item_t *item);
/** member_renew_lease - renew the lease on this VM's keys */
void member_renew_lease (cell_t *c);
void member_lease_result (cell_t *c, const cell_event_t *ev);
/** member_write_keys - write this VM's keys, and the owner's if it owns the
    cell */
void member_write_keys (cell_t *c);
/** member_announce_stop - tell the other VMs by this VM's key that it is
    stopping */
void member_announce_stop (cell_t *c);
/** member_txn_result - 1 if the transaction wrote this VM's keys */
int member_txn_result (cell_t *c, const cell_event_t *ev);

/* cellformer.c */

/** former_claim_key - the key of a claim; keys are listed in the order of
    generations */
void former_claim_key (uint64_t generation, char key[CELL_KEY_SIZE]);
/** former_claim_changed - the key of a claim has been written */
void former_claim_changed (cell_t *c, const cell_item_t *item);

/** former_claimed - a process has claimed the cell, at @revision of the store;
    this one included */
void former_claimed (cell_t *c, const gl_claim_t *claim, uint64_t revision);
/** former_released - the owner of @generation has released the cell */
void former_released (cell_t *c, uint64_t generation);
/** former_process_seen - a process runs at an address; returns how many former
    owners are known to have ended by that */
int former_process_seen (cell_t *c, const gl_process_t *process,
                         uint64_t revision);
/** former_census_complete - the owner of @generation had completed its census,
    so leases from owners before it have ended */
void former_census_complete (cell_t *c, uint64_t generation);
/** former_lease_ms - how long leases from owners before this one can last */
gl_ms_t former_lease_ms (const cell_t *c);

/* cellpoll.c */

/** poll_next - when to poll the worker next */
gl_ms_t poll_next (const cell_t *c, const cworker_t *w);
/** poll_wait - how long a poll that is sent now may wait, in ms; it may be
   sent up to @early_ms before it is due */
uint32_t poll_wait (const cell_t *c, const cworker_t *w, gl_ms_t early_ms);
/** poll_task_started - poll the task's worker in time for its end */
void poll_task_started (cell_t *c, const cstep_t *s, const ctask_t *t);
/** poll_task_ended - a task of the step has ended: if one is left, poll its
    worker in time for its end */
void poll_task_ended (cell_t *c, const cstep_t *s);
/** poll_note_waiting - after a planning pass: set c->room_wanted */
void poll_note_waiting (cell_t *c);

/* cellincarn.c */

/** incarnation_current - the current incarnation of this id, or NULL */
cworker_t *incarnation_current (cell_t *c, const char *id);
/** incarnation_next - another incarnation of the same id, or @w itself; all of
    them follow each other in a ring */
cworker_t *incarnation_next (cell_t *c, const cworker_t *w);
/** incarnation_token - the fencing token of calls to the incarnation */
uint64_t incarnation_token (const cell_t *c, const cworker_t *w);
/** incarnation_outdated - 1 if this owner has since used a higher token for
    the id of @w, to which the call was sent */
int incarnation_outdated (cell_t *c, const cworker_t *w,
                          const cell_wcall_t *k);
/** incarnation_raise_token - have the incarnation, which has answered, refuse
    all calls that were sent to others of its id; it is polled for that */
void incarnation_raise_token (cell_t *c, cworker_t *w);
/** incarnation_add - add an entry, which is the current one of its id if there
    is no other; NULL without memory.  The entries may move. */
cworker_t *incarnation_add (cell_t *c, const cell_worker_t *info);
/** incarnation_recorded - the entry that a record in the store is of, added if
    needed; NULL without memory */
cworker_t *incarnation_recorded (cell_t *c, const cell_worker_t *info);
/** incarnation_registered - the entry that a registration is of, added if
    needed, which is now the current one; NULL if the registration is not of
    the current incarnation, or without memory */
cworker_t *incarnation_registered (cell_t *c, const cell_worker_t *info);
/** incarnation_answered - the entry of the incarnation that has answered a
    call to @w, added if needed, which is now the current one; NULL if it has
    been replaced before, or without memory */
cworker_t *incarnation_answered (cell_t *c, cworker_t *w, uint64_t started_at,
                                 gl_ms_t sent_at);
/** incarnation_is_later - whether @w may have started after the answer that
   @by gave to a call of @sent_at */
int incarnation_is_later (const cworker_t *w, const cworker_t *by,
                          gl_ms_t sent_at);

/* cellreg.c */

/** cworker_registration - a worker has registered, changed its registration or
    lost it */
void cworker_registration (cell_t *c, const cell_event_t *ev);
/** cworker_unregister - the registration has gone, or is that of another
    incarnation */
void cworker_unregister (cell_t *c, cworker_t *w);

/* cellsettle.c */

/** settle_others - the worker has answered the call, so every other
   incarnation of its id is over */
void settle_others (cell_t *c, cworker_t *w, const cell_wcall_t *k);
/** settle_runs - bind to the worker, which has answered a poll, the runs that
   it has taken over from former incarnations */
void settle_runs (cell_t *c, cworker_t *w, const cell_wcall_t *k);
/** settle_is_done - 1 if no other incarnation can run what was sent to this
    one */
int settle_is_done (cell_t *c, const cworker_t *w);

/* cellenrol.c */

/** enrol_update - write the records of new workers, remove those of workers
    that are gone */
void enrol_update (cell_t *c);
/** enrol_load - a record that an earlier owner has written */
void enrol_load (cell_t *c, const cell_item_t *item);
/** enrol_txn_result - 1 if the result was for a transaction of this module */
int enrol_txn_result (cell_t *c, const cell_event_t *ev);

/* cellhealth.c */

/** health_run_ended - learn from a run of @t that has ended on the worker */
void health_run_ended (cell_t *c, cworker_t *w, cstep_t *s, ctask_t *t,
                       cell_outcome_t outcome);
/** health_stalled - 1 if the run makes no progress, as the worker has @listed
    it, and is to be stopped */
int health_stalled (cell_t *c, cworker_t *w, const cstep_t *s, ctask_t *t,
                    const cell_run_t *listed);
/** health_speed_class - -1 for a worker faster than most, 0 for one as fast as
    most, 1 for a slower one, 2 for one far slower */
int health_speed_class (const cell_t *c, const cworker_t *w);
/** health_interference - by how much a task of the step and those on the
   worker would slow each other down, as a sum of logarithms */
double health_interference (const cell_t *c, const cstep_t *s,
                            const cworker_t *w);
/** health_run_ratio - a statistic of run time over estimate, of the step's
    tasks on the worker; @otherwise while too little is known */
double health_run_ratio (const cell_t *c, const cstep_t *s, const cworker_t *w,
                         ratio_stat_t stat, double otherwise);

/* cellcrash.c */

/** crash_note_answer - the worker has answered a call that was sent at @sent
 */
void crash_note_answer (cell_t *c, cworker_t *w, gl_ms_t sent);
/** crash_note_restart - the worker has restarted: find the runs that may have
    crashed it; called before its tasks are unbound */
void crash_note_restart (cell_t *c, cworker_t *w);
/** crash_note_lapse - the worker is given up by its lease: keep the runs that
    may have crashed it; called before its tasks are unbound */
void crash_note_lapse (cell_t *c, cworker_t *w);
/** crash_wants_answer - 1 if a worker that was given up is to be polled, to
    learn whether it has restarted */
int crash_wants_answer (const cell_t *c, const cworker_t *w);
/** crash_note_late_restart - a worker that was given up by its lease has
    restarted: the runs that were kept may have crashed it */
void crash_note_late_restart (cell_t *c, cworker_t *w);
/** crash_note_start - the task is started on the worker that it is bound to */
void crash_note_start (cell_t *c, const cstep_t *s, uint32_t index);
/** crash_recount - tasks of the job have been done or restored */
void crash_recount (cell_t *c, cjob_t *j);
/** crash_holds - 1 if the task may not be started now, since others of its job
    have to be started before */
int crash_holds (const cell_t *c, const cstep_t *s, uint32_t index);
/** crash_allows - 1 if the step may use the worker, as far as crashes go */
int crash_allows (const cell_t *c, const cstep_t *s, int worker);
/** crash_is_suspect - 1 if the step's job is suspected of crashing workers */
int crash_is_suspect (const cell_t *c, const cstep_t *s);
/** crash_plan_begin - a planning pass begins */
void crash_plan_begin (cell_t *c);
/** crash_tick - poll workers of probing runs, and fail jobs */
void crash_tick (cell_t *c);
/** crash_encode - append the crash records of a chunk to its encoded task
    records, *@value of *@len bytes, if there are any or @always; -1 without
    memory */
int crash_encode (cell_t *c, const cjob_t *j, size_t chunk, int always,
                  char **value, size_t *len);
/** crash_restore - set the counts from the records that follow the task
    records in the key of @chunk; returns their length, 0 if they cannot be
    read */
size_t crash_restore (cell_t *c, cjob_t *j, size_t chunk, const char *data,
                      size_t len);

/* cellroom.c */

/** room_unused - capacity that the worker's tasks do not use; negative in a
    resource of which they use more than it has now, because it has shrunk */
gl_res_t room_unused (const cworker_t *w);
/** room_is_overcommitted - 1 if @unused is negative in some resource: no task
    is started on such a worker, whatever it needs */
int room_is_overcommitted (const gl_res_t *unused);
/** room_for - how many tasks of the step the worker has room for now */
int room_for (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
              int worker);
/** room_unreserved - the same, if nothing were reserved or kept for others */
int room_unreserved (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
                     int worker);
/** room_when_empty - how many it would have room for if it were empty */
int room_when_empty (const cell_t *c, const cstep_t *s, const cell_queue_t *q,
                     int worker);
/** room_has_label - 1 if the worker has the label, or @label is empty */
int room_has_label (const cworker_t *w, const char *label);
/** room_is_unreserved - 1 if one more task of the step takes no room that is
    reserved for other steps */
int room_is_unreserved (const cell_t *c, const cstep_t *s, int worker);
/** room_on_wanted_rack - 1 if the worker is on the rack that the step wants,
    or it wants none */
int room_on_wanted_rack (const cworker_t *w, const cstep_t *s);
/** room_waits_for_rack - 1 while the step should wait for its rack */
int room_waits_for_rack (const cell_t *c, const cstep_t *s);

/* cellflow.c */

/** flow_send - note a message of @bytes; returns the time in ms until it has
    left this VM's link, 0 if the link's rate is not known */
gl_ms_t flow_send (cell_t *c, size_t bytes);
/** flow_backlog - time in ms that the link needs for what was sent before */
gl_ms_t flow_backlog (const cell_t *c);
/** flow_is_behind - 1 if the link is too far behind for starts and
    consultations */
int flow_is_behind (const cell_t *c);
/** flow_next_start - from when on it will not be */
gl_ms_t flow_next_start (const cell_t *c);

/* cellhold.c */

/** reserve_pass - reserve room for all waiting gangs, the oldest first */
void reserve_pass (cell_t *c);
/** reserve_drop - release the step's reservations */
void reserve_drop (cell_t *c, cstep_t *s);
/** reserved_by_others - room reserved on the worker for other steps that @s
    may not use */
gl_res_t reserved_by_others (const cell_t *c, const cstep_t *s, int worker);

/* cellconsult.c */

/** consult_step - ask the advisor for tickets that the step lacks */
void consult_step (cell_t *c, cstep_t *s, const cell_queue_t *q);
/** consult_ahead - the same for a step without tickets of which tasks will
   wait
    @in_ms from now, unless it is too early for that */
void consult_ahead (cell_t *c, cstep_t *s, const cell_queue_t *q,
                    gl_ms_t in_ms);
void consult_answer (cell_t *c, const cell_event_t *ev);
/** consults_since_before - 1 if a consultation is in flight that was sent
    before @at */
int consults_since_before (const cell_t *c, gl_ms_t at);
/** consult_ticket - the step's ticket for the worker, or NULL */
const char *consult_ticket (const cstep_t *s, int worker);
/** consult_drop_expired - forget tickets that are no longer valid */
void consult_drop_expired (const cell_t *c, cstep_t *s);
/** consult_verdict - 0: the advisor was not asked, 1: approved, 2: refused */
int consult_verdict (const cstep_t *s, int worker);
/** consult_earliest_start - when a task of the step could start on a worker
    that has room at @when: then, or once a ticket asked for now arrives */
gl_ms_t consult_earliest_start (const cell_t *c, const cstep_t *s,
                                const cell_queue_t *q, int worker,
                                gl_ms_t when);
/** consult_survey_wait - span of waiting for room that is worth another
    survey */
gl_ms_t consult_survey_wait (const cell_queue_t *q);
/** consult_is_costly - 1 if even one worker takes the advisor long */
int consult_is_costly (const cell_queue_t *q);

/* celldue.c */

/** DUE_LATENESS_MAX - highest value of due_lateness */
#define DUE_LATENESS_MAX 2
/** due_compute_paths - set the path lengths of a new job; -1 without memory
 */
int due_compute_paths (cjob_t *j);
/** due_consult_ms - time that the advisor takes for a step of the queue */
double due_consult_ms (const cell_queue_t *q);
/** due_lateness - 0: the step's job can still end in time, 1: it will be
    late, 2: so late that it is of little use */
int due_lateness (const cell_t *c, const cstep_t *s);
/** due_update_starved - set the step's member starved */
void due_update_starved (cell_t *c, cstep_t *s);

/* cellplan.c */

/** plan_wake - request a planning pass at the end of the present event */
void plan_wake (cell_t *c);
/** plan_queue - the job's queue, or NULL when it is not known here */
const cell_queue_t *plan_queue (const cell_t *c, const cjob_t *j);
/** cstep_note_short - the workers that the step may use have no room for it */
void cstep_note_short (const cell_t *c, cstep_t *s);
/**
 * plan_admits - 1 if a job of the team may be submitted to the queue now
 * @beyond: set to 1 if it is beyond the team's rate, else to 0
 * @retry_ms: set if it is refused: time after which to retry
 *
 * A job beyond the rate is refused while work of its priority or a higher one
 * waits for room, or work of its team for the team's cap.
 */
int plan_admits (cell_t *c, int team, const cell_queue_t *q, int *beyond,
                 uint32_t *retry_ms);
/** plan_run - make a planning pass if one is due */
void plan_run (cell_t *c);
void plan_tick (void *ctx, gl_ms_t now);
/** plan_reset - forget what waits, when the ownership is lost */
void plan_reset (cell_t *c);

/* cellstop.c */

/** stop_begin - the planned stop begins; the process ends at @ends_at at the
    latest */
void stop_begin (cell_t *c, gl_ms_t ends_at);
/** stop_answers_until - instant by which every request must be answered, since
    the process ends; TIMER_NEVER unless this VM is stopping */
gl_ms_t stop_answers_until (const cell_t *c);
/** stop_update - decide whether to take no more connections; every tick */
void stop_update (cell_t *c);
/** stop_vm_changed - a VM has said whether it is stopping */
void stop_vm_changed (cell_t *c, cvm_t *v, const gl_vmstate_t *state);
/** stop_count_staying - number of other VMs that are registered and do not
    stop */
int stop_count_staying (const cell_t *c);
/** stop_takes_consults - 0 if the VM may end before the advisor has answered
    a consultation through it */
int stop_takes_consults (const cell_t *c, const cvm_t *v);
/** stop_may_claim - 0 if this VM is stopping and must not claim the cell */
int stop_may_claim (const cell_t *c);
/** stop_release_due - decide whether an owner that is stopping is to release
    the cell now */
int stop_release_due (cell_t *c);
/** stop_nobody_can_own - 1 if this VM and all others are stopping, nobody owns
    the cell, and nobody can claim it before a VM comes back */
int stop_nobody_can_own (const cell_t *c);
/** stop_retry_ms - after what time to retry when nobody can own the cell: when
    the first VM is expected back */
uint32_t stop_retry_ms (const cell_t *c);

/* cellask.c */

/** request_receive - add a new request, to be served, forwarded or refused */
void request_receive (cell_t *c, const cell_event_t *ev);
/** request_forward_reply - the owner's answer to a forwarded request */
void request_forward_reply (cell_t *c, const cell_event_t *ev);
/** request_answer_job - answer request @tag with the phase of the job @j, if
    the job may be shown to the caller */
void request_answer_job (cell_t *c, uint64_t tag, const cjob_t *j);
/** request_result_read - the stored result of a job that is not in memory */
void request_result_read (cell_t *c, const cell_event_t *ev);
void request_tick (void *ctx, gl_ms_t now);
/** request_end_wait_tick - timer: answer the state queries that have waited
    for the write of a job's end for as long as they may */
void request_end_wait_tick (void *ctx, gl_ms_t now);
/** requests_end_written - the job's end is in the store: answer the requests
    that wait for it */
void requests_end_written (cell_t *c, cjob_t *j);
/** requests_end_unwritten - a write of the job has failed: answer the state
    queries that wait for its end */
void requests_end_unwritten (cell_t *c, const cjob_t *j);
/** requests_give_up - log the requests that get no answer, as the process ends
 */
void requests_give_up (cell_t *c);
/** request_owner_changed - forward or serve all open requests again */
void request_owner_changed (cell_t *c);

#endif
