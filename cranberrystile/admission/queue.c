#include "cranberrystile/queue.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

/* One organisation may fill at most 1/ORGANISATION_DIVISOR of the queue.  */
#define ORGANISATION_DIVISOR 2

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
  double start_tag;  /* virtual start time */
  uint64_t sequence; /* order of arrival */
  struct node *prev; /* in its flow, per priority */
  struct node *next;
  UT_hash_handle hh;
} node_t;

/* The queued requests of one organisation, in order of arrival.  */
typedef struct
{
  uint64_t organisation;
  node_t *nodes[PRIORITIES];
  size_t counts[PRIORITIES];
  double last_start_tag;
  uint32_t weight;
  UT_hash_handle hh;
} flow_t;

struct cs_queue
{
  node_t *nodes; /* all requests, by router and call */
  flow_t *flows;
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
  flow_t *flow, *next_flow;
  if (queue == NULL)
    return;
  HASH_ITER (hh, queue->nodes, node, next_node)
  {
    HASH_DEL (queue->nodes, node);
    free (node);
  }
  HASH_ITER (hh, queue->flows, flow, next_flow)
  {
    HASH_DEL (queue->flows, flow);
    free (flow);
  }
  free (queue);
}

static flow_t *
find_flow (const cs_queue_t *queue, uint64_t organisation)
{
  flow_t *flow = NULL;
  HASH_FIND (hh, queue->flows, &organisation, sizeof organisation, flow);
  return flow;
}

static flow_t *
find_or_add_flow (cs_queue_t *queue, uint64_t organisation)
{
  flow_t *flow = find_flow (queue, organisation);
  if (flow != NULL)
    return flow;
  flow = calloc (1, sizeof *flow);
  if (flow == NULL)
    return NULL;
  flow->organisation = organisation;
  HASH_ADD (hh, queue->flows, organisation, sizeof flow->organisation, flow);
  return flow;
}

static size_t
flow_length (const flow_t *flow)
{
  return flow == NULL ? 0 : flow->counts[0] + flow->counts[1];
}

/* Start tag that a new request of FLOW would get.  */
static double
next_start_tag (const cs_queue_t *queue, const flow_t *flow, uint32_t weight)
{
  if (flow_length (flow) == 0)
    return queue->virtual_time;
  return flow->last_start_tag + 1.0 / weight;
}

int
cs_queue_push (cs_queue_t *queue, const cs_queue_item_t *item)
{
  size_t waiting = flow_length (find_flow (queue, item->ask.organisation));
  if (cs_queue_length (queue) >= queue->capacity
      || waiting >= queue->capacity / ORGANISATION_DIVISOR + 1)
    return CS_ERR_OVERLOADED;
  flow_t *flow = find_or_add_flow (queue, item->ask.organisation);
  node_t *node = calloc (1, sizeof *node);
  if (flow == NULL || node == NULL)
    {
      free (node);
      return CS_ERR_NO_MEMORY;
    }
  node->key.router = item->ask.router;
  node->key.call = item->ask.call;
  node->item = *item;
  node->start_tag = next_start_tag (queue, flow, item->weight);
  node->sequence = queue->sequence++;
  HASH_ADD (hh, queue->nodes, key, sizeof node->key, node);
  DL_APPEND (flow->nodes[item->priority], node);
  flow->counts[item->priority]++;
  flow->last_start_tag = node->start_tag;
  flow->weight = item->weight;
  return 0;
}

static bool
is_interactive (const cs_queue_t *queue, const node_t *node, cs_time_us_t now)
{
  if (node->item.priority == CS_PRIORITY_INTERACTIVE)
    return true;
  return now >= node->item.enqueued + queue->ageing_us; /* aged batch */
}

static bool
precedes (const cs_queue_t *queue, const node_t *a, const node_t *b,
          cs_time_us_t now)
{
  bool a_interactive = is_interactive (queue, a, now);
  bool b_interactive = is_interactive (queue, b, now);
  if (a_interactive != b_interactive)
    return a_interactive;
  if (a->start_tag != b->start_tag)
    return a->start_tag < b->start_tag;
  return a->sequence < b->sequence;
}

const cs_queue_item_t *
cs_queue_peek (cs_queue_t *queue, cs_time_us_t now, cs_queue_skip_fn *skip,
               void *context)
{
  const node_t *best = NULL;
  for (const flow_t *flow = queue->flows; flow != NULL; flow = flow->hh.next)
    for (int i = 0; i < PRIORITIES; i++)
      {
        const node_t *head = flow->nodes[i];
        if (head == NULL
            || (best != NULL && !precedes (queue, head, best, now)))
          continue;
        if (skip == NULL || !skip (context, &head->item))
          best = head;
      }
  return best == NULL ? NULL : &best->item;
}

static void
remove_node (cs_queue_t *queue, node_t *node)
{
  flow_t *flow = find_flow (queue, node->item.ask.organisation);
  DL_DELETE (flow->nodes[node->item.priority], node);
  flow->counts[node->item.priority]--;
  HASH_DEL (queue->nodes, node);
  free (node);
  if (flow_length (flow) > 0)
    return;
  HASH_DEL (queue->flows, flow);
  free (flow);
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
  if (node->start_tag > queue->virtual_time)
    queue->virtual_time = node->start_tag;
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

/* Number of requests of PRIORITY in FLOW with a start tag up to START_TAG,
   computed from the constant distance between the tags of a flow.  */
static size_t
count_up_to (const flow_t *flow, cs_priority_t priority, double start_tag)
{
  const node_t *head = flow->nodes[priority];
  if (head == NULL || head->start_tag > start_tag)
    return 0;
  double position = (start_tag - head->start_tag) * flow->weight + 1;
  size_t count = flow->counts[priority];
  return position < (double)count ? (size_t)position : count;
}

size_t
cs_queue_ahead_of (const cs_queue_t *queue, uint64_t organisation,
                   uint32_t weight, cs_priority_t priority)
{
  double start_tag
      = next_start_tag (queue, find_flow (queue, organisation), weight);
  size_t ahead = 0;
  for (const flow_t *flow = queue->flows; flow != NULL; flow = flow->hh.next)
    {
      if (priority == CS_PRIORITY_BATCH)
        ahead += flow->counts[CS_PRIORITY_INTERACTIVE];
      ahead += count_up_to (flow, priority, start_tag);
    }
  return ahead;
}
