/* A queue of events in order of time; equal times in order of insertion.  */

#ifndef CS_BENCH_HEAP_H
#define CS_BENCH_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

typedef struct
{
  cs_time_us_t at;
  uint64_t order;
  uint32_t kind;
  uint32_t index; /* of whatever the event is about */
} event_t;

/* Initialise with zeros.  */
typedef struct
{
  event_t *events;
  size_t count;
  size_t capacity;
  uint64_t order;
} heap_t;

void heap_push (heap_t *heap, cs_time_us_t at, uint32_t kind, uint32_t index);
bool heap_pop (heap_t *heap, event_t *out);
void heap_free (heap_t *heap);

#endif
