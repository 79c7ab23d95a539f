#include "cranberrystile/queue.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

/* One organisation may fill at most this part of the queue.  */
#define ORGANISATION_SHARE 2

typedef struct node
{
  cs_queue_item_t item;
  double start; /* virtual start time of its service */
  struct node *prev;
  struct node *next;
} node_t;

struct cs_queue
{
  node_t *nodes; /* in order of arrival */
  size_t length;
  size_t capacity;
  cs_time_us_t ageing_us;
  double virtual_time;
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
  node_t *node, *next;
  if (queue == NULL)
    return;
  DL_FOREACH_SAFE (queue->nodes, node, next)
  free (node);
  free (queue);
}

typedef struct
{
  size_t count;
  double last_start;
  bool any;
} backlog_t;

static backlog_t
backlog_of (const cs_queue_t *queue, uint64_t organisation)
{
  backlog_t backlog = { 0, 0, false };
  const node_t *node;
  DL_FOREACH (queue->nodes, node)
  {
    if (node->item.ask.organisation != organisation)
      continue;
    backlog.count++;
    backlog.any = true;
    if (node->start > backlog.last_start)
      backlog.last_start = node->start;
  }
  return backlog;
}

static double
next_start (const cs_queue_t *queue, const backlog_t *backlog, uint32_t weight)
{
  if (!backlog->any)
    return queue->virtual_time;
  return backlog->last_start + 1.0 / weight;
}

int
cs_queue_push (cs_queue_t *queue, const cs_queue_item_t *item)
{
  backlog_t backlog = backlog_of (queue, item->ask.organisation);
  if (queue->length >= queue->capacity)
    return CS_ERR_OVERLOADED;
  if (backlog.count >= queue->capacity / ORGANISATION_SHARE + 1)
    return CS_ERR_OVERLOADED;
  node_t *node = calloc (1, sizeof *node);
  if (node == NULL)
    return CS_ERR_NO_MEMORY;
  node->item = *item;
  node->start = next_start (queue, &backlog, item->weight);
  DL_APPEND (queue->nodes, node);
  queue->length++;
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
  return a->start < b->start;
}

const cs_queue_item_t *
cs_queue_peek (cs_queue_t *queue, cs_time_us_t now, cs_queue_skip_fn *skip,
               void *context)
{
  const node_t *best = NULL;
  const node_t *node;
  DL_FOREACH (queue->nodes, node)
  {
    if (best != NULL && !goes_before (queue, node, best, now))
      continue;
    if (skip != NULL && skip (context, &node->item))
      continue;
    best = node;
  }
  return best == NULL ? NULL : &best->item;
}

static void
remove_node (cs_queue_t *queue, node_t *node)
{
  DL_DELETE (queue->nodes, node);
  queue->length--;
  free (node);
}

static node_t *
find_node (const cs_queue_t *queue, uint64_t router, uint64_t call)
{
  node_t *node;
  DL_FOREACH (queue->nodes, node)
  if (node->item.ask.router == router && node->item.ask.call == call)
    return node;
  return NULL;
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
  node_t *node;
  DL_FOREACH (queue->nodes, node)
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
  node_t *node;
  DL_FOREACH (queue->nodes, node)
  if (node->item.ask.router == router)
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
  return queue->length;
}

size_t
cs_queue_ahead_of (const cs_queue_t *queue, uint64_t organisation,
                   uint32_t weight, cs_priority_t priority)
{
  backlog_t backlog = backlog_of (queue, organisation);
  double start = next_start (queue, &backlog, weight);
  size_t ahead = 0;
  const node_t *node;
  DL_FOREACH (queue->nodes, node)
  {
    if (node->item.priority < priority)
      ahead++;
    else if (node->item.priority == priority && node->start <= start)
      ahead++;
  }
  return ahead;
}
