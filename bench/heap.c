#include "heap.h"

#include <stdlib.h>

static bool
is_before (const event_t *a, const event_t *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

void
heap_push (heap_t *heap, cs_time_us_t at, uint32_t kind, uint32_t index)
{
  if (heap->count == heap->capacity)
    {
      heap->capacity = heap->capacity == 0 ? 1024 : heap->capacity * 2;
      heap->events
          = realloc (heap->events, heap->capacity * sizeof *heap->events);
      if (heap->events == NULL)
        abort ();
    }
  event_t event = { at, heap->order++, kind, index };
  size_t i = heap->count++;
  while (i > 0 && is_before (&event, &heap->events[(i - 1) / 2]))
    {
      heap->events[i] = heap->events[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  heap->events[i] = event;
}

bool
heap_pop (heap_t *heap, event_t *out)
{
  if (heap->count == 0)
    return false;
  *out = heap->events[0];
  event_t last = heap->events[--heap->count];
  size_t i = 0;
  while (2 * i + 1 < heap->count)
    {
      size_t child = 2 * i + 1;
      if (child + 1 < heap->count
          && is_before (&heap->events[child + 1], &heap->events[child]))
        child++;
      if (!is_before (&heap->events[child], &last))
        break;
      heap->events[i] = heap->events[child];
      i = child;
    }
  if (heap->count > 0)
    heap->events[i] = last;
  return true;
}

void
heap_free (heap_t *heap)
{
  free (heap->events);
}
