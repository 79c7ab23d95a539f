/* Non-cryptographic hashing (xxHash) and a pseudo-random generator built on
 * it.
 */

#ifndef CS_COMMON_HASH_H
#define CS_COMMON_HASH_H

#include <stdint.h>

#include "common/str.h"

uint64_t cs_hash (cs_str_t s, uint64_t seed);

/* Hashes two 64-bit values into one.  */
uint64_t cs_hash_pair (uint64_t a, uint64_t b);

/* A pseudo-random generator: the same SEED and initial COUNTER give the same
   sequence.  Not for secrets.  */
typedef struct
{
  uint64_t seed;
  uint64_t counter;
} cs_random_t;

uint64_t cs_random_u64 (cs_random_t *random);

/* Returns a value uniformly distributed in [0, 1).  */
double cs_random_unit (cs_random_t *random);

/* Returns an exponentially distributed value with mean MEAN.  */
double cs_random_exponential (cs_random_t *random, double mean);

#endif
