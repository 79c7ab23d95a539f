/* Priority queue of events, ordered by time and then by insertion.  */

#ifndef CS_BENCH_HEAP_H
#define CS_BENCH_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

typedef struct
{
  cs_time_us_t at;
  uint64_t order; /* of insertion */
  uint32_t kind;  /* EV_* of state.h */
  uint32_t index; /* of the call, engine or router, depending on KIND */
} event_t;

/* Zero-initialise before use.  */
typedef struct
{
  event_t *events;
  size_t count;
  size_t capacity;
  uint64_t order; /* of the next event */
} heap_t;

/* Aborts the program when out of memory.  */
void heap_push (heap_t *heap, cs_time_us_t at, uint32_t kind, uint32_t index);

/* Removes the first event.  Returns false if the queue is empty.  */
bool heap_pop (heap_t *heap, event_t *out);
void heap_free (heap_t *heap);

#endif
