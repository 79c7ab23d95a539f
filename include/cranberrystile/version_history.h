/* The software versions of which targets have served lately, by service.  What
   two versions write doesn't fit together, so a stream goes on only at the
   version that began it.  */

#ifndef CS_VERSION_HISTORY_H
#define CS_VERSION_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

/* Callers take a stream up within this time after it began.  A version that
   has been gone for longer has no streams left.  */
#define CS_STREAM_LIFE_US (30 * CS_US_PER_S)

/* Versions that are kept, of all services.  */
#define CS_VERSION_HISTORY_MAX 128

typedef struct
{
  uint64_t service; /* hash of its name */
  uint64_t version; /* hash of the service and the version */
  cs_time_us_t seen_at;
  bool is_base; /* the only version of the service before others joined */
  cs_time_us_t few_at; /* when the base last had less than half of the targets;
                          0: not known to */
  uint32_t targets;    /* that have it now */
} cs_version_seen_t;

/* Initialise with zeros.  */
typedef struct
{
  cs_version_seen_t seen[CS_VERSION_HISTORY_MAX];
  size_t count;
  cs_time_us_t forgot_at; /* when one with streams last had to give way; 0:
                             never */
} cs_version_history_t;

/* Records that targets of SERVICE had VERSION at AT; the latest time counts.
   Versions that have no streams left at NOW are forgotten; if there are too
   many, so is the one that was seen least recently.  Returns whether VERSION
   was not known, or had no streams left.  */
bool cs_version_history_see (cs_version_history_t *history,
                             const cs_version_seen_t *seen, cs_time_us_t now);

/* Whether a version was forgotten whose streams may not be over at NOW.  */
bool cs_version_history_lacks (const cs_version_history_t *history,
                               cs_time_us_t now);

/* Forgets the versions that have no streams left at NOW.  */
void cs_version_history_expire (cs_version_history_t *history,
                                cs_time_us_t now);

/* Whether VERSION was seen within CS_STREAM_LIFE_US.  */
bool cs_version_history_has (const cs_version_history_t *history,
                             uint64_t version, cs_time_us_t now);

/* Returns the number of versions of SERVICE that may have begun streams which
   are not over at NOW, and stores one of them in *VERSION.  */
size_t cs_version_history_count (const cs_version_history_t *history,
                                 uint64_t service, cs_time_us_t now,
                                 uint64_t *version);

/* Makes VERSION the base of its service, in place of any other.  Does nothing
   if it is not known.  */
void cs_version_history_set_base (cs_version_history_t *history,
                                  uint64_t version);

bool cs_version_history_is_base (const cs_version_history_t *history,
                                 uint64_t version);

/* Returns the base version of SERVICE; 0: not known.  */
uint64_t cs_version_history_base (const cs_version_history_t *history,
                                  uint64_t service, cs_time_us_t now);

/* Returns the base version of SERVICE if at least half of its targets have it;
   0: they don't, or it is not known.  */
uint64_t cs_version_history_main_base (const cs_version_history_t *history,
                                       uint64_t service, cs_time_us_t now);

/* Records that bases have less than half of the targets, which have all been
   counted.  */
void cs_version_history_check_bases (cs_version_history_t *history,
                                     cs_time_us_t now);

/* Whether the base of SERVICE had less than half of its targets within
   CS_STREAM_LIFE_US.  */
bool cs_version_history_had_few (const cs_version_history_t *history,
                                 uint64_t service, cs_time_us_t now);

/* Counts a target of VERSION.  */
void cs_version_history_count_target (cs_version_history_t *history,
                                      uint64_t version);

/* Forgets the targets that were counted.  */
void cs_version_history_reset_targets (cs_version_history_t *history);

#endif
