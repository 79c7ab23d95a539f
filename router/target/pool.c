/* Idle connections to a target, most recently used first.  */

#include "router/target/internal.h"

/* Pooled connections are closed this long before the target would do so.  */
#define IDLE_MARGIN_US CS_US_PER_S

static void
remove_from_pool (cs_connection_t *connection)
{
  cs_connection_t **link = (cs_connection_t **)&connection->target->user_data;
  while (*link != NULL && *link != connection)
    link = &(*link)->next;
  if (*link != NULL)
    *link = connection->next;
}

/* An idle connection is discarded when it is closed or receives data that
   belongs to no request.  */
static void
on_idle_data (void *context, cs_str_t data)
{
  cs_connection_t *connection = context;
  connection->env.counters->stale_answers++;
  remove_from_pool (connection);
  cs_connection_destroy (connection);
}

static void
on_idle_end (void *context, int error)
{
  remove_from_pool (context);
  cs_connection_destroy (context);
}

static const cs_channel_handlers_t idle_handlers
    = { .on_data = on_idle_data, .on_end = on_idle_end };

void
cs_pool_return (cs_connection_t *connection)
{
  connection->idle_since = cs_loop_now (connection->env.loop);
  connection->next = connection->target->user_data;
  connection->target->user_data = connection;
  cs_http_reader_next (connection->reader);
  cs_channel_pause (connection->channel, false);
  cs_channel_set_owner (connection->channel, &idle_handlers, connection);
}

static cs_time_us_t
idle_limit (const cs_connection_t *connection)
{
  cs_time_us_t limit = connection->max_idle_us;
  return limit > IDLE_MARGIN_US * 2 ? limit - IDLE_MARGIN_US : limit / 2;
}

/* Discards pooled connections until the first is one without input: the event
   loop may not have reported yet that the target has closed them or sent data.
   They are not read, as a callback may be using the loop's read buffer.  */
static void
discard_with_input (cs_target_t *target)
{
  cs_connection_t *connection;
  while ((connection = target->user_data) != NULL
         && cs_channel_has_input (connection->channel))
    {
      if (cs_channel_has_unread (connection->channel))
        connection->env.counters->stale_answers++;
      remove_from_pool (connection);
      cs_connection_destroy (connection);
    }
}

cs_connection_t *
cs_pool_take (const cs_connection_env_t *env, cs_target_t *target,
              bool require_fresh)
{
  discard_with_input (target);
  cs_connection_t *connection = target->user_data;
  if (connection == NULL)
    return NULL;
  cs_time_us_t idle = cs_loop_now (env->loop) - connection->idle_since;
  if (idle > idle_limit (connection)
      || (require_fresh && idle > env->settings->fresh_ms * CS_US_PER_MS))
    return NULL;
  target->user_data = connection->next;
  connection->next = NULL;
  connection->reused = true;
  return connection;
}

void
cs_connections_close_idle (cs_target_t *target, bool all, cs_time_us_t now)
{
  cs_connection_t **link = (cs_connection_t **)&target->user_data;
  while (*link != NULL)
    {
      cs_connection_t *connection = *link;
      if (!all && !target->leaving
          && now - connection->idle_since <= idle_limit (connection))
        {
          link = &connection->next;
          continue;
        }
      *link = connection->next;
      cs_connection_destroy (connection);
    }
}
