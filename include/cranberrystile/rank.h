/* Weighted rendezvous hashing.  */

#ifndef CS_RANK_H
#define CS_RANK_H

#include <stddef.h>
#include <stdint.h>

/* Maximum number of members that are ranked for one key.  */
#define CS_MAX_RANKED 128

typedef struct
{
  uint64_t id;   /* hash of the member's name */
  double weight; /* share of keys relative to 1; 0 excludes the member */
} cs_rank_member_t;

/* Writes the indices of the COUNT_OUT highest ranked of COUNT members for KEY
   to OUT, best first, and returns how many were written (at most
   CS_MAX_RANKED).  A
   member's score is u^(1/weight) for u uniform in (0, 1) from hash (KEY, id),
   which gives each member a share of keys proportional to its weight
   (Schindelhauer and Schomaker, 2005).  */
size_t cs_rank (uint64_t key, const cs_rank_member_t *members, size_t count,
                uint32_t *out, size_t count_out);

/* Returns the index of the highest ranked member, or COUNT if all are
   excluded.  */
size_t cs_rank_first (uint64_t key, const cs_rank_member_t *members,
                      size_t count);

#endif
