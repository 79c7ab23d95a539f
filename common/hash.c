#include "common/hash.h"

#include <math.h>

#include <xxhash.h>

uint64_t
cs_hash (cs_str_t s, uint64_t seed)
{
  return XXH64 (s.data, s.len, seed);
}

uint64_t
cs_hash_pair (uint64_t a, uint64_t b)
{
  return XXH64 (&a, sizeof a, b);
}

uint64_t
cs_random_u64 (cs_random_t *random)
{
  return cs_hash_pair (random->counter++, random->seed);
}

double
cs_random_unit (cs_random_t *random)
{
  return (double)(cs_random_u64 (random) >> 11) * 0x1p-53;
}

double
cs_random_exponential (cs_random_t *random, double mean)
{
  return -mean * log (1.0 - cs_random_unit (random));
}
