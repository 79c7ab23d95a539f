/* The set of evacuated data centres.  Their targets get no requests.  It is
   learnt from the platform's store, as a whole or change by change, and from
   other routers, always as a whole.  */

#ifndef CS_EVACUATIONS_H
#define CS_EVACUATIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/str.h"
#include "cranberrystile/revision.h"

typedef struct cs_evacuations cs_evacuations_t;

/* Called when DATA_CENTRE has been evacuated, or taken back.  */
typedef void cs_evacuations_changed_fn (void *context,
                                        const cs_name_t *data_centre,
                                        bool is_evacuated);

/* Functions that only read accept NULL: an empty set that is known.  */

/* A set that isn't known yet.  Returns NULL if memory is exhausted.  */
cs_evacuations_t *cs_evacuations_create (cs_evacuations_changed_fn *changed,
                                         void *context);
void cs_evacuations_destroy (cs_evacuations_t *set);

/* Whether DATA_CENTRE is evacuated.  */
bool cs_evacuations_has (const cs_evacuations_t *set,
                         const cs_name_t *data_centre);

/* Number of evacuated data centres.  */
size_t cs_evacuations_count (const cs_evacuations_t *set);

/* Returns the name at AT of those that the latest revision contains, or NULL
   from their number on.  Names that stay in force for a while after the store
   was restored are left out.  */
const cs_name_t *cs_evacuations_listed_at (const cs_evacuations_t *set,
                                           size_t at);

/* A name that stays in force UNTIL then though the restored store lacks it.
   HOPS routers have learnt it from another one, including this one; 0: it was
   known here when the store was restored.  */
typedef struct
{
  const cs_name_t *name; /* borrowed until the set changes */
  cs_time_us_t until;
  uint32_t hops;
} cs_evacuation_kept_t;

/* Stores in *OUT the name at AT of those that stay in force after NOW and may
   be passed on, or returns false from their number on.  */
bool cs_evacuations_kept_at (const cs_evacuations_t *set, size_t at,
                             cs_time_us_t now, cs_evacuation_kept_t *out);

/* Returns how many names have stayed in force so far; it changes when peers
   need to be told of more.  */
uint32_t cs_evacuations_kept_total (const cs_evacuations_t *set);

/* A peer whose set is that of REVISION says that KEPT stays in force.  It does
   so here until the KEPT_UNTIL of the first set of this era at most: routers
   that pass a name to each other must not keep it in force for good.  Ignored
   if the set isn't known or of another era, if KEPT has passed through too
   many routers, and if the name is evacuated already, has been changed since,
   or was kept before in this era.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_evacuations_keep (cs_evacuations_t *set,
                         const cs_evacuation_kept_t *kept,
                         cs_revision_t revision, cs_time_us_t now);

/* Whether the whole set has been learnt.  */
bool cs_evacuations_is_known (const cs_evacuations_t *set);

/* The state of the platform's store that the set reflects.  */
cs_revision_t cs_evacuations_revision (const cs_evacuations_t *set);

/* The store's object of DATA_CENTRE was written at REVISION, or deleted.
   Changes that the set already reflects are ignored.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_evacuations_change (cs_evacuations_t *set, cs_str_t data_centre,
                           bool is_evacuated, cs_revision_t revision);

/* NAMES are the whole set at REVISION, which replaces an older one.  If
   REVISION is of a later era, the known names that it lacks stay in force
   until KEPT_UNTIL: the store was restored from a copy that may be older than
   they are.  Returns 0, or CS_ERR_NO_MEMORY with nothing changed.  */
int cs_evacuations_replace (cs_evacuations_t *set, const cs_name_t *names,
                            size_t count, cs_revision_t revision,
                            cs_time_us_t kept_until);

/* Collect the store's list, page by page.  LIST_BEGIN discards a list that did
   not end; LIST_END applies it by cs_evacuations_replace, unless memory was
   exhausted before.  Both others return 0 or CS_ERR_NO_MEMORY.  */
void cs_evacuations_list_begin (cs_evacuations_t *set);
int cs_evacuations_list_add (cs_evacuations_t *set, cs_str_t data_centre);
int cs_evacuations_list_end (cs_evacuations_t *set, cs_revision_t revision,
                             cs_time_us_t kept_until);

/* Ends the evacuations whose time after a restored store has passed.  */
void cs_evacuations_expire (cs_evacuations_t *set, cs_time_us_t now);

/* Whether requests may be served: the set is known, or has not been learnt
   within the time that cs_evacuations_wait allows.  */
bool cs_evacuations_may_serve (const cs_evacuations_t *set);

/* Call regularly.  A set that is still unknown LIMIT_US after the targets were
   known (HAS_TARGETS) is no longer waited for.  Returns true once, when that
   time has passed.  */
bool cs_evacuations_wait (cs_evacuations_t *set, bool has_targets,
                          cs_time_us_t limit_us, cs_time_us_t now);

#endif
