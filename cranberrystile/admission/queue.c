#include "cranberrystile/queue.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

/* One organisation may fill at most this part of the queue.  */
#define ORGANISATION_SHARE 2

#define PRIORITIES 2

typedef struct
{
  uint64_t router;
  uint64_t call;
} node_key_t;

typedef struct node
{
  node_key_t key;
  cs_queue_item_t item;
  double start;      /* virtual start time of its service */
  uint64_t sequence; /* order of arrival */
  struct node *prev; /* in its lane, by priority */
  struct node *next;
  UT_hash_handle hh;
} node_t;

/* The asks of one organisation, in order of arrival.  */
typedef struct
{
  uint64_t organisation;
  node_t *nodes[PRIORITIES];
  size_t counts[PRIORITIES];
  double last_start;
  uint32_t weight;
  UT_hash_handle hh;
} lane_t;

struct cs_queue
{
  node_t *nodes; /* all, by router and call */
  lane_t *lanes;
  size_t capacity;
  cs_time_us_t ageing_us;
  double virtual_time;
  uint64_t sequence;
};

cs_queue_t *
cs_queue_create (size_t capacity, cs_time_us_t ageing_us)
{
  cs_queue_t *queue = calloc (1, sizeof *queue);
  if (queue == NULL)
    return NULL;
  queue->capacity = capacity;
  queue->ageing_us = ageing_us;
  return queue;
}

void
cs_queue_destroy (cs_queue_t *queue)
{
  node_t *node, *next_node;
  lane_t *lane, *next_lane;
  if (queue == NULL)
    return;
  HASH_ITER (hh, queue->nodes, node, next_node)
  {
    HASH_DEL (queue->nodes, node);
    free (node);
  }
  HASH_ITER (hh, queue->lanes, lane, next_lane)
  {
    HASH_DEL (queue->lanes, lane);
    free (lane);
  }
  free (queue);
}

static lane_t *
find_lane (const cs_queue_t *queue, uint64_t organisation)
{
  lane_t *lane = NULL;
  HASH_FIND (hh, queue->lanes, &organisation, sizeof organisation, lane);
  return lane;
}

static lane_t *
lane_of (cs_queue_t *queue, uint64_t organisation)
{
  lane_t *lane = find_lane (queue, organisation);
  if (lane != NULL)
    return lane;
  lane = calloc (1, sizeof *lane);
  if (lane == NULL)
    return NULL;
  lane->organisation = organisation;
  HASH_ADD (hh, queue->lanes, organisation, sizeof lane->organisation, lane);
  return lane;
}

static size_t
lane_count (const lane_t *lane)
{
  return lane == NULL ? 0 : lane->counts[0] + lane->counts[1];
}

/* Virtual start time of one more ask.  */
static double
next_start (const cs_queue_t *queue, const lane_t *lane, uint32_t weight)
{
  if (lane_count (lane) == 0)
    return queue->virtual_time;
  return lane->last_start + 1.0 / weight;
}

int
cs_queue_push (cs_queue_t *queue, const cs_queue_item_t *item)
{
  size_t waiting = lane_count (find_lane (queue, item->ask.organisation));
  if (cs_queue_length (queue) >= queue->capacity
      || waiting >= queue->capacity / ORGANISATION_SHARE + 1)
    return CS_ERR_OVERLOADED;
  lane_t *lane = lane_of (queue, item->ask.organisation);
  node_t *node = calloc (1, sizeof *node);
  if (lane == NULL || node == NULL)
    {
      free (node);
      return CS_ERR_NO_MEMORY;
    }
  node->key.router = item->ask.router;
  node->key.call = item->ask.call;
  node->item = *item;
  node->start = next_start (queue, lane, item->weight);
  node->sequence = queue->sequence++;
  HASH_ADD (hh, queue->nodes, key, sizeof node->key, node);
  DL_APPEND (lane->nodes[item->priority], node);
  lane->counts[item->priority]++;
  lane->last_start = node->start;
  lane->weight = item->weight;
  return 0;
}

static bool
is_urgent (const cs_queue_t *queue, const node_t *node, cs_time_us_t now)
{
  if (node->item.priority == CS_PRIORITY_INTERACTIVE)
    return true;
  return now >= node->item.enqueued + queue->ageing_us;
}

static bool
goes_before (const cs_queue_t *queue, const node_t *a, const node_t *b,
             cs_time_us_t now)
{
  bool a_urgent = is_urgent (queue, a, now);
  bool b_urgent = is_urgent (queue, b, now);
  if (a_urgent != b_urgent)
    return a_urgent;
  if (a->start != b->start)
    return a->start < b->start;
  return a->sequence < b->sequence;
}

const cs_queue_item_t *
cs_queue_peek (cs_queue_t *queue, cs_time_us_t now, cs_queue_skip_fn *skip,
               void *context)
{
  const node_t *best = NULL;
  for (const lane_t *lane = queue->lanes; lane != NULL; lane = lane->hh.next)
    for (int i = 0; i < PRIORITIES; i++)
      {
        const node_t *head = lane->nodes[i];
        if (head == NULL
            || (best != NULL && !goes_before (queue, head, best, now)))
          continue;
        if (skip == NULL || !skip (context, &head->item))
          best = head;
      }
  return best == NULL ? NULL : &best->item;
}

static void
remove_node (cs_queue_t *queue, node_t *node)
{
  lane_t *lane = find_lane (queue, node->item.ask.organisation);
  DL_DELETE (lane->nodes[node->item.priority], node);
  lane->counts[node->item.priority]--;
  HASH_DEL (queue->nodes, node);
  free (node);
  if (lane_count (lane) > 0)
    return;
  HASH_DEL (queue->lanes, lane);
  free (lane);
}

static node_t *
find_node (const cs_queue_t *queue, uint64_t router, uint64_t call)
{
  node_t *node = NULL;
  node_key_t key;
  memset (&key, 0, sizeof key);
  key.router = router;
  key.call = call;
  HASH_FIND (hh, queue->nodes, &key, sizeof key, node);
  return node;
}

bool
cs_queue_has (const cs_queue_t *queue, uint64_t router, uint64_t call)
{
  return find_node (queue, router, call) != NULL;
}

bool
cs_queue_cancel (cs_queue_t *queue, uint64_t router, uint64_t call)
{
  node_t *node = find_node (queue, router, call);
  if (node == NULL)
    return false;
  remove_node (queue, node);
  return true;
}

bool
cs_queue_serve (cs_queue_t *queue, uint64_t router, uint64_t call)
{
  node_t *node = find_node (queue, router, call);
  if (node == NULL)
    return false;
  if (node->start > queue->virtual_time)
    queue->virtual_time = node->start;
  remove_node (queue, node);
  return true;
}

bool
cs_queue_pop_expired (cs_queue_t *queue, cs_time_us_t now,
                      cs_queue_item_t *out)
{
  for (node_t *node = queue->nodes; node != NULL; node = node->hh.next)
    if (node->item.deadline <= now)
      {
        *out = node->item;
        remove_node (queue, node);
        return true;
      }
  return false;
}

bool
cs_queue_pop_router (cs_queue_t *queue, uint64_t router, cs_queue_item_t *out)
{
  for (node_t *node = queue->nodes; node != NULL; node = node->hh.next)
    if (node->key.router == router)
      {
        *out = node->item;
        remove_node (queue, node);
        return true;
      }
  return false;
}

size_t
cs_queue_length (const cs_queue_t *queue)
{
  return HASH_COUNT (queue->nodes);
}

/* Asks of PRIORITY in LANE with a start of at most START, worked out from the
   equal distances of starts within a lane.  */
static size_t
count_until (const lane_t *lane, cs_priority_t priority, double start)
{
  const node_t *head = lane->nodes[priority];
  if (head == NULL || head->start > start)
    return 0;
  double until = (start - head->start) * lane->weight + 1;
  size_t count = lane->counts[priority];
  return until < (double)count ? (size_t)until : count;
}

size_t
cs_queue_ahead_of (const cs_queue_t *queue, uint64_t organisation,
                   uint32_t weight, cs_priority_t priority)
{
  double start = next_start (queue, find_lane (queue, organisation), weight);
  size_t ahead = 0;
  for (const lane_t *lane = queue->lanes; lane != NULL; lane = lane->hh.next)
    {
      if (priority == CS_PRIORITY_BATCH)
        ahead += lane->counts[CS_PRIORITY_INTERACTIVE];
      ahead += count_until (lane, priority, start);
    }
  return ahead;
}
