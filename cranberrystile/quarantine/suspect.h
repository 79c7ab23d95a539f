/* A part that is under suspicion or blocked, private to this folder.  */

#ifndef CS_QUARANTINE_SUSPECT_H
#define CS_QUARANTINE_SUSPECT_H

#include <uthash.h>

#include "cranberrystile/quarantine.h"

/* Crashes that are kept for each part.  */
#define CS_SUSPECT_CRASHES 8

typedef struct
{
  uint64_t part;
  bool is_request;                      /* the fingerprint of one */
  uint64_t crashed[CS_SUSPECT_CRASHES]; /* different targets */
  uint32_t crash_count;
  cs_time_us_t first_crash_at;
  cs_time_us_t changed_at; /* latest crash */
  cs_time_us_t served_at;  /* as peers know; 0: not known */
  cs_time_us_t blocked_at;
  cs_time_us_t blocked_until; /* 0: not blocked */
  uint32_t blocks;            /* so far, without an answer since */
  UT_hash_handle hh;          /* by PART */
} cs_suspect_t;

bool cs_suspect_is_blocked (const cs_suspect_t *suspect, cs_time_us_t now);
bool cs_suspect_has_crash (const cs_suspect_t *suspect, uint64_t target);
void cs_suspect_remove_crash (cs_suspect_t *suspect, uint64_t target);

/* Returns whether the crash is new: it is not if the part was answered since.
   Earlier crashes are forgotten if the latest of them is EVIDENCE_US older. */
bool cs_suspect_add_crash (cs_suspect_t *suspect, const cs_crash_t *crash,
                           cs_time_us_t evidence_us);

/* Initialise with zeros; release with cs_suspect_table_free.  */
typedef struct
{
  cs_suspect_t *entries; /* allocated with the first one */
  size_t count;
  cs_suspect_t *by_part;
  size_t next; /* to be looked at for a place */
} cs_suspect_table_t;

/* Returns NULL if PART is not in TABLE.  */
cs_suspect_t *cs_suspect_table_find (const cs_suspect_table_t *table,
                                     uint64_t part);

/* Returns the entry of PART, which is added if there is none.  In a full table
   it takes the place of the one under the least suspicion; crashes count for
   EVIDENCE_US.  Returns NULL if memory is exhausted.  */
cs_suspect_t *cs_suspect_table_add (cs_suspect_table_t *table, uint64_t part,
                                    cs_time_us_t evidence_us,
                                    cs_time_us_t now);
void cs_suspect_table_free (cs_suspect_table_t *table);

#endif
