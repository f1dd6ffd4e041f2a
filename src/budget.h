/* budget.h -- bound on the memory that clients make a process hold */
#ifndef GL_BUDGET_H
#define GL_BUDGET_H

#include <stddef.h>

/** typedef budget_t - a number of bytes, shared by servers and threads; all
    functions accept NULL, which is a budget without a bound */
typedef struct budget budget_t;

/** budget_new - a budget of @limit bytes; NULL when out of memory */
budget_t *budget_new (size_t limit);
void budget_free (budget_t *b);
/** budget_take - reserve @n bytes before they are allocated; 0, or -1 when
    they are not left, and then nothing is reserved */
int budget_take (budget_t *b, size_t n);
/** budget_give - return @n reserved bytes after they were freed */
void budget_give (budget_t *b, size_t n);
/** budget_held - bytes reserved */
size_t budget_held (const budget_t *b);
/** budget_limit - the bound, 0 for none */
size_t budget_limit (const budget_t *b);
/** budget_trim - return free memory to the system if most of what was held has
    been freed since the last time; to be called at intervals */
void budget_trim (budget_t *b);

#endif
