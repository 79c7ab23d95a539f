#include "router/crash_check.h"

#include <stdlib.h>

#include "common/log.h"
#include "net/channel.h"
#include "router/quarantine.h"

/* A target that had ended resets a connection within one round trip, which is
   what the refusal of the check takes.  This allows for some difference.  */
#define ROUND_TRIP_FACTOR 1.5
#define ROUND_TRIP_MARGIN_US CS_US_PER_MS

struct cs_crash_check
{
  cs_router_t *router;
  cs_target_t *target;
  cs_channel_t *channel;
  cs_crash_t crash;
  cs_time_us_t cut_us; /* of the requests of this check; 0: the target was
                          alive */
  cs_crash_check_t *next;
};

static void
destroy (cs_crash_check_t *check)
{
  cs_crash_check_t **link = &check->router->crash_checks;
  while (*link != check)
    link = &(*link)->next;
  *link = check->next;
  cs_channel_close (check->channel);
  cs_target_release (check->target);
  cs_id_list_free (&check->crash.causes.requests);
  cs_id_list_free (&check->crash.causes.parts);
  free (check);
}

static void
on_open (void *context)
{
  destroy (context);
}

static void
on_data (void *context, cs_str_t data)
{
  destroy (context);
}

/* A target that is cut off does not answer; one that has crashed refuses at
   once.  */
static void
on_end (void *context, int error)
{
  cs_crash_check_t *check = context;
  cs_time_us_t now = cs_loop_now (check->router->loop);
  double round_trip = (double)(now - check->crash.at);
  cs_buf_t requests = { 0 };
  cs_buf_t parts = { 0 };
  if (now - check->crash.at
      >= check->router->settings.connect_timeout_ms * CS_US_PER_MS)
    {
      destroy (check);
      return;
    }
  if (check->cut_us > 0
      && (double)check->cut_us
             <= ROUND_TRIP_FACTOR * round_trip + ROUND_TRIP_MARGIN_US)
    {
      destroy (check);
      return;
    }
  (void)cs_id_list_print (&check->crash.causes.requests, &requests);
  (void)cs_id_list_print (&check->crash.causes.parts, &parts);
  cs_log (CS_EV_TARGET_CRASHED, "target=%s requests=%.*s parts=%.*s",
          check->target->id.text, CS_STR_ARG (cs_buf_str (&requests)),
          CS_STR_ARG (cs_buf_str (&parts)));
  cs_buf_free (&requests);
  cs_buf_free (&parts);
  cs_router_crash_seen (check->router, &check->crash, now);
  destroy (check);
}

static const cs_channel_handlers_t handlers
    = { .on_open = on_open, .on_data = on_data, .on_end = on_end };

/* Adds the ids of FROM to LIST.  Returns 0 or CS_ERR_NO_MEMORY.  */
static int
add_ids (cs_id_list_t *list, const cs_id_list_t *from)
{
  int rc = CS_OK;
  for (uint32_t i = 0; rc == CS_OK && i < from->count; i++)
    if (!cs_id_list_has (list, from->ids[i]))
      rc = cs_id_list_add (list, from->ids[i]);
  return rc;
}

/* Adds CAUSES to the check unless there is no room for them.  */
static bool
add_causes (cs_crash_check_t *check, const cs_causes_t *causes)
{
  cs_causes_t *merged = &check->crash.causes;
  return merged->requests.count < CS_CRASH_REQUESTS_MAX
         && merged->parts.count + causes->parts.count <= CS_CRASH_PARTS_MAX
         && add_ids (&merged->requests, &causes->requests) == CS_OK
         && add_ids (&merged->parts, &causes->parts) == CS_OK;
}

void
cs_crash_check_begin (cs_router_t *router, cs_target_t *target,
                      const cs_causes_t *causes, cs_time_us_t cut_us,
                      cs_time_us_t now)
{
  const cs_router_settings_t *settings = &router->settings;
  cs_crash_check_t *check;
  if (target->leaving
      || cs_evacuations_has (router->evacuations, &target->data_centre))
    return;
  for (check = router->crash_checks; check != NULL; check = check->next)
    if (check->target == target && check->cut_us == 0 && cut_us == 0
        && add_causes (check, causes))
      return;
  check = calloc (1, sizeof *check);
  if (check == NULL)
    return;
  check->channel = cs_channel_connect (
      router->loop, &target->address,
      settings->connect_timeout_ms * CS_US_PER_MS,
      settings->unacknowledged_ms * CS_US_PER_MS, &handlers, check);
  if (check->channel == NULL)
    {
      free (check);
      return;
    }
  check->router = router;
  check->target = cs_target_reference (target);
  check->crash = (cs_crash_t){ .target = target->incarnation, .at = now };
  (void)add_ids (&check->crash.causes.requests, &causes->requests);
  (void)cs_id_list_copy (&check->crash.causes.parts, &causes->parts,
                         UINT32_MAX);
  check->cut_us = cut_us;
  check->next = router->crash_checks;
  router->crash_checks = check;
}

void
cs_crash_checks_end (cs_router_t *router)
{
  while (router->crash_checks != NULL)
    destroy (router->crash_checks);
}
