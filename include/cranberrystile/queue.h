/* Bounded queue of placement requests that wait for a target.  Start-time fair
   queueing divides it between organisations by weight.  Interactive requests
   go before batch requests; ageing keeps the latter from starving.

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
  cs_placement_request_t ask; /* the Ask of the peer protocol */
  cs_priority_t priority;
  uint32_t weight; /* of the organisation, at least 1 */
  cs_time_us_t deadline;
  cs_time_us_t enqueued;
} cs_queue_item_t;

typedef struct cs_queue cs_queue_t;

/* A batch request that has waited for AGEING_US is treated as interactive.
   Returns NULL if memory is exhausted.  */
cs_queue_t *cs_queue_create (size_t capacity, cs_time_us_t ageing_us);
void cs_queue_destroy (cs_queue_t *queue);

/* Appends a copy of ITEM.  Returns 0, CS_ERR_NO_MEMORY, or CS_ERR_OVERLOADED
   when the queue or the organisation's share of it is full.  */
int cs_queue_push (cs_queue_t *queue, const cs_queue_item_t *item);

/* Returns true for an item to pass over.  */
typedef bool cs_queue_skip_fn (void *context, const cs_queue_item_t *item);

/* The next item to serve, or NULL.  Borrowed until the queue changes.  SKIP
   may be NULL.  Only the head of each organisation's interactive and batch
   list is considered.  */
const cs_queue_item_t *cs_queue_peek (cs_queue_t *queue, cs_time_us_t now,
                                      cs_queue_skip_fn *skip, void *context);

/* Both remove a request and return false if it was not queued.  Serving
   advances the queue's virtual time, cancelling does not.  */
bool cs_queue_serve (cs_queue_t *queue, uint64_t router, uint64_t call);
bool cs_queue_cancel (cs_queue_t *queue, uint64_t router, uint64_t call);

/* Moves one item whose deadline has passed to OUT.  Returns false when there
   is none.  */
bool cs_queue_pop_expired (cs_queue_t *queue, cs_time_us_t now,
                           cs_queue_item_t *out);

/* Moves one item of ROUTER to OUT.  Returns false when there is none.  */
bool cs_queue_pop_router (cs_queue_t *queue, uint64_t router,
                          cs_queue_item_t *out);

bool cs_queue_has (const cs_queue_t *queue, uint64_t router, uint64_t call);
size_t cs_queue_length (const cs_queue_t *queue);

/* Number of queued requests that would be served before a new one of
   ORGANISATION with this WEIGHT and PRIORITY.  */
size_t cs_queue_ahead_of (const cs_queue_t *queue, uint64_t organisation,
                          uint32_t weight, cs_priority_t priority);

#endif
