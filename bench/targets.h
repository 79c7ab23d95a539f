/* The stated targets, checked on the rows of one size.  */

#ifndef CS_BENCH_TARGETS_H
#define CS_BENCH_TARGETS_H

#include "world.h"

typedef enum
{
  TARGET_CAP,     /* no placement above the cap, in any case */
  TARGET_REUSE,   /* 0.93 at c = 1.25, 0.98 at c = 1.5, calm */
  TARGET_MEDIAN,  /* max/mean at most 1.25 at c = 1.25, calm */
  TARGET_CACHE,   /* within 5% of the best with caches for half the chats */
  TARGET_WAITS,   /* calm ones wait at most 1.2 times as long in a surge */
  TARGET_TRIES,   /* extra tries at most a tenth of first tries */
  TARGET_CONTROL, /* 4 KB/s a router at today's sizes, 22 in a cell */
  TARGET_COUNT
} target_t;

/* What the rows have shown so far.  Initialise with zeros.  */
typedef struct
{
  bool missed[TARGET_COUNT];
  double calm_wait_ms;
} targets_t;

void targets_judge (targets_t *targets, const setup_t *setup,
                    const result_t *result);

/* One line a target: "check SIZE-TARGET-SEED pass" or "fail".  */
void targets_print (const targets_t *targets, const setup_t *setup);

#endif
