/* conf.h -- the operators' configuration: base, overlays, checks */
#ifndef GL_CONF_H
#define GL_CONF_H

#include "gentianlatch.h"

#define CONF_TEAMS_MAX 1024
#define CONF_ERROR_LEN 200
#define CONF_KEY "gl/config"

/**
 * struct conf_team_t - one team and its quota over the whole cell
 * @quota: most that the team's tasks may hold at once, all domains together
 */
typedef struct
{
  char name[64];
  gl_res_t quota;
} conf_team_t;

/**
 * struct gl_conf - configuration in force at one site
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

/** conf_init - defaults, no teams, revision 0 */
void conf_init (gl_conf_t *c);
/** conf_done - release the teams */
void conf_done (gl_conf_t *c);
/** conf_free - release one that malloc gave, with its teams; may be NULL */
void conf_free (gl_conf_t *c);
/**
 * conf_parse - check base and overlay and build the configuration in force
 * @base: INI text shared by all sites
 * @overlay: INI text of one site, or NULL; its keys replace those of the base
 * @err: CONF_ERROR_LEN bytes for the reason of a refusal
 *
 * Returns GL_OK, or GL_INVALID with *c empty.
 */
gl_code_t conf_parse (gl_conf_t *c, const char *base, const char *overlay,
                      char *err);

/**
 * struct conf_doc_t - the record that the key-value service holds: one
 * revision number over the base and all overlays
 */
typedef struct
{
  uint64_t revision;
  void *json;
} conf_doc_t;

/** conf_doc_load - parse a record; an empty @text is revision 0 */
gl_code_t conf_doc_load (conf_doc_t *d, const char *text, size_t len);
/** conf_doc_free - release it */
void conf_doc_free (conf_doc_t *d);
/** conf_doc_text - malloc'd record text */
char *conf_doc_text (const conf_doc_t *d);
/** conf_doc_part - INI text of the base (site NULL) or of one overlay */
const char *conf_doc_part (const conf_doc_t *d, const char *site);
/**
 * conf_doc_change - replace one part and raise the revision by one
 * @author: who asks
 * @change: number that is unique to this change; kept in the history
 * @err: CONF_ERROR_LEN bytes for the reason of a refusal
 *
 * The whole is checked for every site first; nothing changes on an error.
 */
gl_code_t conf_doc_change (conf_doc_t *d, const char *site, const char *text,
                           const char *author, uint64_t change, char *err);
/** conf_doc_revision_of - revision that a change made; 0 when not recorded */
uint64_t conf_doc_revision_of (const conf_doc_t *d, uint64_t change);
/** conf_doc_in_force - configuration of @site under this record */
gl_code_t conf_doc_in_force (const conf_doc_t *d, const char *site,
                             gl_conf_t *c, char *err);

#endif
