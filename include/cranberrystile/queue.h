/* The bounded queue of asks that wait for a target: weighted fair between
   organisations (start-time fair queueing), interactive before batch, with
   ageing so that batch is never starved.

   Not thread-safe.  */

#ifndef CS_QUEUE_H
#define CS_QUEUE_H

#include "cranberrystile/pool.h"

typedef enum
{
  CS_PRIORITY_INTERACTIVE,
  CS_PRIORITY_BATCH
} cs_priority_t;

typedef struct
{
  cs_placement_request_t ask;
  cs_priority_t priority;
  uint32_t weight; /* of the organisation, at least 1 */
  cs_time_us_t deadline;
  cs_time_us_t enqueued;
} cs_queue_item_t;

typedef struct cs_queue cs_queue_t;

/* AGEING_US is the wait after which a batch ask counts as interactive.  */
cs_queue_t *cs_queue_create (size_t capacity, cs_time_us_t ageing_us);
void cs_queue_destroy (cs_queue_t *queue);

/* Adds ITEM.  Returns 0, or CS_ERR_OVERLOADED when the queue is full, or when
   the organisation already fills its share of it.  */
int cs_queue_push (cs_queue_t *queue, const cs_queue_item_t *item);

/* The item that is next in turn, or NULL.  Borrowed until the next change.
   An item for which SKIP returns true is passed over; SKIP may be NULL.  */
typedef bool cs_queue_skip_fn (void *context, const cs_queue_item_t *item);
const cs_queue_item_t *cs_queue_peek (cs_queue_t *queue, cs_time_us_t now,
                                      cs_queue_skip_fn *skip, void *context);

/* Both remove an ask and return false when it was not queued.  Serving it
   advances the virtual time of the queue, cancelling it does not.  */
bool cs_queue_serve (cs_queue_t *queue, uint64_t router, uint64_t call);
bool cs_queue_cancel (cs_queue_t *queue, uint64_t router, uint64_t call);

/* Removes and copies to OUT one item whose deadline has passed.  */
bool cs_queue_pop_expired (cs_queue_t *queue, cs_time_us_t now,
                           cs_queue_item_t *out);

/* Removes and copies to OUT one item of ROUTER.  */
bool cs_queue_pop_router (cs_queue_t *queue, uint64_t router,
                          cs_queue_item_t *out);

bool cs_queue_has (const cs_queue_t *queue, uint64_t router, uint64_t call);
size_t cs_queue_length (const cs_queue_t *queue);

/* Asks that would be served before a new one of this organisation.  */
size_t cs_queue_ahead_of (const cs_queue_t *queue, uint64_t organisation,
                          uint32_t weight, cs_priority_t priority);

#endif
