/* A state of the platform's store.

   Revisions grow with each change, until the store is restored from a copy:
   then an era begins, in which the numbers after the copy's are given out
   again.  So revisions of different eras are ordered by their eras.  */

#ifndef CS_REVISION_H
#define CS_REVISION_H

#include <stdint.h>

/* Zeros precede all others.  */
typedef struct
{
  uint64_t era; /* 0: the store does not state it */
  uint64_t number;
} cs_revision_t;

/* Returns less than, equal to or more than 0 if A precedes, is or follows
   B.  */
static inline int
cs_revision_compare (cs_revision_t a, cs_revision_t b)
{
  if (a.era != b.era)
    return a.era < b.era ? -1 : 1;
  return (a.number > b.number) - (a.number < b.number);
}

#endif
