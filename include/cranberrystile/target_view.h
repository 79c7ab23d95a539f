/* What is known of one target's life, from the release, the platform's list,
   peers and the target's own answers.

   Leaving is a latch per instance: whichever source says it first is believed,
   and no later word of another source takes it back.  Only another instance
   id, which means a restarted target, clears it.  */

#ifndef CS_TARGET_VIEW_H
#define CS_TARGET_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Instances remembered as left, so that an old list cannot revive them.  */
#define CS_TARGET_MAX_DEPARTED 4

/* Initialise with zeros.  */
typedef struct
{
  cs_name_t instance; /* empty until a source names it */
  bool leaving;
  uint64_t departed[CS_TARGET_MAX_DEPARTED]; /* hashes of instances that have
                                                left */
  uint32_t departed_next;
} cs_target_view_t;

typedef enum
{
  CS_VIEW_UNCHANGED,
  CS_VIEW_LEAVING, /* the latch has just closed */
  CS_VIEW_STARTED  /* a new instance is there, cold and live */
} cs_view_change_t;

/* Takes the word of a source that INSTANCE is live or LEAVING.  INSTANCE may
   be empty when the source does not know it.  */
cs_view_change_t cs_target_view_update (cs_target_view_t *view,
                                        cs_str_t instance, bool leaving);

#endif
