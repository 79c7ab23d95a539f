/* Lifecycle state of one target, merged from the release, the platform's list,
   peers and the target's own answers.

   Leaving is sticky for an instance: it is set as soon as any source reports
   it, and no later report of another source clears it.  Only a new instance
   id, that is, a restart of the target, does.  */

#ifndef CS_TARGET_VIEW_H
#define CS_TARGET_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Number of departed instances that are recorded, so that an outdated list
   cannot bring them back.  */
#define CS_TARGET_MAX_DEPARTED 4

/* Initialise with zeros.  */
typedef struct
{
  cs_name_t instance; /* empty until a source reports it */
  bool leaving;
  uint64_t departed[CS_TARGET_MAX_DEPARTED]; /* ring of hashed ids */
  uint32_t departed_next;
} cs_target_view_t;

typedef enum
{
  CS_VIEW_UNCHANGED,
  CS_VIEW_LEAVING, /* the instance began to leave */
  CS_VIEW_STARTED  /* a new instance is live, with an empty cache */
} cs_view_change_t;

/* Applies the report of a source that INSTANCE is live or LEAVING, and returns
   what changed.  INSTANCE may be empty if the source does not know it.  */
cs_view_change_t cs_target_view_update (cs_target_view_t *view,
                                        cs_str_t instance, bool leaving);

#endif
