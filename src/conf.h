/* conf.h -- the operators' configuration: base, overlays, checks */
#ifndef GL_CONF_H
#define GL_CONF_H

#include "gentianlatch.h"

#define CONF_TEAMS_MAX 1024
/* Size in bytes of the buffers for the reason of a refusal. */
#define CONF_ERROR_LEN 200
/* Key of the configuration record in the key-value service. */
#define CONF_KEY "gl/config"

/**
 * struct conf_team_t - one team and its quota over the whole cell
 * @quota: most that the team's tasks may hold at once, in all domains together
 */
typedef struct
{
  char name[64];
  gl_res_t quota;
} conf_team_t;

/**
 * struct gl_conf - configuration in force at one site
 * @revision: revision of the record that it comes from
 * @ageing_s: seconds after which a waiting job counts as aged
 * @backfill: 1 if jobs that end in time may use workers that are reserved
 *   for another job
 * @preempt: 1 if tasks may be stopped to make room for urgent jobs
 * @domains: number of domains of the cell; each has an equal share of the
 *   teams' quotas
 * @retry_percent: bound on the requests that an entry sends again after a
 *   lost response, in percent of all requests
 * @queue_len: an entry refuses a request with this many queued ahead of it
 * @deadline_ms: longest deadline of a request, and the default; milliseconds
 *   from its arrival
 * @first_byte_ms: bound on the wait for an upstream's response, milliseconds
 * @claims_per_s: bound on an entry's claims of idempotency keys, per second
 *
 * Every number has a range, listed in conf.c and in docs/OPERATING.md.
 */
typedef struct gl_conf
{
  uint64_t revision;
  conf_team_t *teams;
  size_t nteams;
  int ageing_s;
  int backfill;
  int preempt;
  int domains;
  int retry_percent;
  int queue_len;
  int deadline_ms;
  int first_byte_ms;
  int claims_per_s;
} gl_conf_t;

/** conf_init - set the defaults, no teams, revision 0 */
void conf_init (gl_conf_t *c);
/** conf_destroy - free the teams, not *@c itself */
void conf_destroy (gl_conf_t *c);
/** conf_free - free a malloc'd configuration and its teams; NULL is allowed */
void conf_free (gl_conf_t *c);
/**
 * conf_parse - check base and overlay and build the configuration in force
 * @base: INI text shared by all sites
 * @overlay: INI text of one site, or NULL; its keys replace those of the base
 * @err: CONF_ERROR_LEN bytes for the reason of a refusal
 *
 * Returns GL_OK, or GL_INVALID with *@c as after conf_init.
 */
gl_code_t conf_parse (gl_conf_t *c, const char *base, const char *overlay,
                      char *err);

/**
 * struct conf_doc_t - the record that the key-value service holds
 * @revision: one number for the base and all overlays; rises by one with
 *   each change
 * @json: the record, a jansson json_t
 */
typedef struct
{
  uint64_t revision;
  void *json;
} conf_doc_t;

/** conf_doc_load - parse a record; with @len 0 it is empty, at revision 0.
    Returns GL_OK or GL_INVALID. */
gl_code_t conf_doc_load (conf_doc_t *d, const char *text, size_t len);
/** conf_doc_free - free the record, not *@d itself */
void conf_doc_free (conf_doc_t *d);
/** conf_doc_text - the record as malloc'd JSON text; NULL out of memory */
char *conf_doc_text (const conf_doc_t *d);
/** conf_doc_part - INI text of the base (@site NULL) or of one overlay; NULL
    if there is none for @site */
const char *conf_doc_part (const conf_doc_t *d, const char *site);
/**
 * conf_doc_change - replace one part and raise the revision by one
 * @site: overlay to replace, NULL for the base
 * @text: its new INI text
 * @author: name of the operator, kept in the history
 * @change: number that is unique to this change, kept in the history
 * @err: CONF_ERROR_LEN bytes for the reason of a refusal
 *
 * First the new record is checked for every site.  Returns GL_OK, or
 * GL_INVALID with the record unchanged.
 */
gl_code_t conf_doc_change (conf_doc_t *d, const char *site, const char *text,
                           const char *author, uint64_t change, char *err);
/** conf_doc_revision_of - revision that the change numbered @change made; 0
    if the history does not hold it */
uint64_t conf_doc_revision_of (const conf_doc_t *d, uint64_t change);
/** conf_doc_in_force - build the configuration of @site from the record, as
    conf_parse does */
gl_code_t conf_doc_in_force (const conf_doc_t *d, const char *site,
                             gl_conf_t *c, char *err);

#endif
