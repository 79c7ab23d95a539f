#include "daemon/summaries.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#define INTERVAL_MS 1000
#define MAX_POOLS 256

/* Longest sleep between two checks whether the daemon is stopping.  */
#define STOP_POLL_MS 200

struct cs_summaries
{
  cs_placement_t *placement;
  cs_peers_t *peers;
  atomic_bool stopping;
  pthread_t thread;
};

static void
send_summaries (cs_summaries_t *summaries)
{
  cs_pool_summary_t pools[MAX_POOLS];
  size_t count
      = cs_placement_summaries (summaries->placement, pools, MAX_POOLS);
  for (size_t i = 0; i < count; i++)
    {
      Cs__Peer__Summary message;
      cs_frame_t frame;
      cs__peer__summary__init (&message);
      message.offering = pools[i].offering;
      message.spare = pools[i].spare;
      message.targets = pools[i].targets;
      cs__peer__frame__init (&frame);
      frame.body_case = CS__PEER__FRAME__BODY_SUMMARY;
      frame.summary = &message;
      cs_peers_broadcast (summaries->peers, false, &frame);
    }
}

static void *
run_summaries (void *argument)
{
  cs_summaries_t *summaries = argument;
  while (!atomic_load (&summaries->stopping))
    {
      send_summaries (summaries);
      for (int ms = 0; ms < INTERVAL_MS && !atomic_load (&summaries->stopping);
           ms += STOP_POLL_MS)
        poll (NULL, 0, STOP_POLL_MS);
    }
  return NULL;
}

cs_summaries_t *
cs_summaries_create (cs_placement_t *placement, cs_peers_t *peers)
{
  cs_summaries_t *summaries = calloc (1, sizeof *summaries);
  if (summaries == NULL)
    return NULL;
  summaries->placement = placement;
  summaries->peers = peers;
  if (pthread_create (&summaries->thread, NULL, run_summaries, summaries) != 0)
    {
      free (summaries);
      return NULL;
    }
  return summaries;
}

void
cs_summaries_destroy (cs_summaries_t *summaries)
{
  if (summaries == NULL)
    return;
  atomic_store (&summaries->stopping, true);
  pthread_join (summaries->thread, NULL);
  free (summaries);
}
