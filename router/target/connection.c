#include "router/connection.h"

#include <stdlib.h>

#include "http/reader.h"
#include "net/channel.h"

/* Longest head of an answer; targets' heads are a few hundred bytes.  */
#define ANSWER_HEAD_BYTES (16U * 1024)
/* A connection is closed this long before the target would close it.  */
#define IDLE_MARGIN_US CS_US_PER_S
/* Answers of earlier requests that are dropped before the connection is given
   up as broken.  */
#define STALE_ANSWERS_MOST 2

struct cs_connection
{
  cs_connection_scope_t scope;
  cs_target_t *target;
  cs_channel_t *channel;
  cs_http_reader_t *reader;
  cs_connection_t *next; /* in the pool, most recently used first */
  cs_time_us_t idle_since;
  cs_time_us_t idle_most_us;
  cs_connection_handlers_t handlers;
  void *context;
  cs_str_t request_id;
  uint32_t stale;
  bool dropping;   /* the answer under way is not for this request */
  bool must_close; /* not fit for another request */
  bool aborted;    /* by the owner, from within a handler */
  bool in_handler;
};

static void
destroy (cs_connection_t *connection)
{
  cs_channel_close (connection->channel);
  cs_http_reader_destroy (connection->reader);
  cs_target_release (connection->target);
  free (connection);
}

static void
drop_from_pool (cs_connection_t *connection)
{
  cs_connection_t **link = (cs_connection_t **)&connection->target->user;
  while (*link != NULL && *link != connection)
    link = &(*link)->next;
  if (*link != NULL)
    *link = connection->next;
}

/* Whatever happens on an idle connection ends its use: a close, or bytes that
   belong to no request.  */
static void
on_idle_data (void *context, cs_str_t data)
{
  cs_connection_t *connection = context;
  connection->scope.counters->stale_answers++;
  drop_from_pool (connection);
  destroy (connection);
}

static void
on_idle_end (void *context, int error)
{
  drop_from_pool (context);
  destroy (context);
}

static const cs_channel_handlers_t idle_handlers
    = { .on_data = on_idle_data, .on_end = on_idle_end };

static void
keep (cs_connection_t *connection)
{
  connection->idle_since = cs_loop_now (connection->scope.loop);
  connection->next = connection->target->user;
  connection->target->user = connection;
  cs_http_reader_next (connection->reader);
  cs_channel_pause (connection->channel, false);
  cs_channel_set_owner (connection->channel, &idle_handlers, connection);
}

/* Hands the end to the owner, and the connection to the pool or to its end. */
static void
end (cs_connection_t *connection, int error)
{
  cs_connection_handlers_t handlers = connection->handlers;
  void *context = connection->context;
  bool was_sent = cs_channel_has_sent (connection->channel);
  if (error == CS_OK && !connection->must_close && !connection->target->leaving
      && cs_channel_queued (connection->channel) == 0)
    keep (connection);
  else
    destroy (connection);
  handlers.on_end (context, error, was_sent);
}

static bool
on_head (void *context, const cs_http_head_t *head)
{
  cs_connection_t *connection = context;
  cs_target_answer_t answer;
  if (head->status < 200)
    return true;
  cs_headers_read_answer (head, &answer);
  bool is_ours = cs_str_equal (answer.id, connection->request_id)
                 || (answer.id.len == 0 && answer.not_executed);
  connection->dropping = !is_ours;
  connection->must_close = connection->must_close || !head->keep_alive
                           || head->ends_at_close || connection->dropping;
  if (answer.idle_s > 0)
    connection->idle_most_us = answer.idle_s * CS_US_PER_S;
  if (!connection->dropping)
    connection->handlers.on_answer (connection->context, head, &answer);
  return !connection->aborted;
}

static void
on_body (void *context, cs_str_t part)
{
  cs_connection_t *connection = context;
  if (!connection->dropping && !connection->aborted)
    connection->handlers.on_body (connection->context, part);
}

/* Reads on after an interim answer, or one of an earlier request.  Returns
   whether another answer is expected.  */
static bool
expect_next (cs_connection_t *connection)
{
  bool interim = cs_http_reader_head (connection->reader)->status < 200;
  if (!interim && !connection->dropping)
    return false;
  if (!interim)
    {
      connection->stale++;
      connection->scope.counters->stale_answers++;
    }
  connection->dropping = false;
  cs_http_reader_next (connection->reader);
  return connection->stale <= STALE_ANSWERS_MOST;
}

static void
on_data (void *context, cs_str_t data)
{
  cs_connection_t *connection = context;
  cs_http_state_t state = CS_HTTP_IN_HEAD;
  connection->in_handler = true;
  while (data.len > 0)
    {
      size_t taken = cs_http_reader_feed (connection->reader, data);
      data.data += taken;
      data.len -= taken;
      state = cs_http_reader_state (connection->reader);
      if (connection->aborted || state != CS_HTTP_COMPLETE
          || !expect_next (connection))
        break;
    }
  connection->in_handler = false;
  if (connection->aborted)
    destroy (connection);
  else if (state == CS_HTTP_BROKEN || connection->stale > STALE_ANSWERS_MOST)
    end (connection, CS_ERR_WRONG_ANSWER);
  else if (state == CS_HTTP_COMPLETE
           && cs_http_reader_state (connection->reader) == CS_HTTP_COMPLETE)
    {
      connection->must_close = connection->must_close || data.len > 0;
      end (connection, CS_OK);
    }
}

static void
on_end (void *context, int error)
{
  cs_connection_t *connection = context;
  connection->must_close = true;
  if (error == CS_OK)
    {
      cs_http_reader_end (connection->reader);
      error = CS_ERR_CUT;
      if (cs_http_reader_state (connection->reader) == CS_HTTP_COMPLETE
          && !connection->dropping)
        error = CS_OK;
    }
  if (error == CS_ERR_CONNECT)
    connection->scope.counters->connects_failed++;
  end (connection, error);
}

static const cs_channel_handlers_t busy_handlers
    = { .on_data = on_data, .on_end = on_end };

static const cs_http_handlers_t reader_handlers
    = { .on_head = on_head, .on_body = on_body };

static cs_connection_t *
open_connection (const cs_connection_scope_t *scope, cs_target_t *target)
{
  cs_connection_t *connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    return NULL;
  connection->scope = *scope;
  connection->target = cs_target_reference (target);
  connection->idle_most_us = scope->settings->idle_ms * CS_US_PER_MS;
  connection->reader = cs_http_reader_create (
      CS_HTTP_RESPONSES, ANSWER_HEAD_BYTES, &reader_handlers, connection);
  connection->channel
      = cs_channel_connect (scope->loop, &target->address,
                            scope->settings->connect_timeout_ms * CS_US_PER_MS,
                            scope->settings->unacknowledged_ms * CS_US_PER_MS,
                            &busy_handlers, connection);
  if (connection->reader == NULL || connection->channel == NULL)
    {
      destroy (connection);
      return NULL;
    }
  scope->counters->connects++;
  return connection;
}

static cs_time_us_t
idle_limit (const cs_connection_t *connection)
{
  cs_time_us_t limit = connection->idle_most_us;
  return limit > IDLE_MARGIN_US * 2 ? limit - IDLE_MARGIN_US : limit / 2;
}

static cs_connection_t *
take_kept (const cs_connection_scope_t *scope, cs_target_t *target, bool fresh)
{
  cs_connection_t *connection = target->user;
  if (connection == NULL)
    return NULL;
  cs_time_us_t idle = cs_loop_now (scope->loop) - connection->idle_since;
  if (idle > idle_limit (connection)
      || (fresh && idle > scope->settings->fresh_ms * CS_US_PER_MS))
    return NULL;
  target->user = connection->next;
  connection->next = NULL;
  return connection;
}

cs_connection_t *
cs_connection_send (const cs_connection_scope_t *scope, cs_target_t *target,
                    const cs_connection_request_t *request,
                    const cs_connection_handlers_t *handlers, void *context)
{
  cs_connection_t *connection = take_kept (scope, target, request->fresh);
  if (connection == NULL)
    connection = open_connection (scope, target);
  if (connection == NULL)
    return NULL;
  connection->handlers = *handlers;
  connection->context = context;
  connection->request_id = request->request_id;
  connection->stale = 0;
  connection->dropping = false;
  connection->must_close = false;
  cs_http_reader_expect_no_body (connection->reader, request->is_head);
  cs_channel_set_owner (connection->channel, &busy_handlers, connection);
  if (cs_channel_send (connection->channel, request->head) != 0
      || cs_channel_send (connection->channel, request->body) != 0)
    {
      destroy (connection);
      return NULL;
    }
  return connection;
}

void
cs_connection_abort (cs_connection_t *connection)
{
  if (connection == NULL)
    return;
  if (connection->in_handler)
    connection->aborted = true;
  else
    destroy (connection);
}

void
cs_connection_pause (cs_connection_t *connection, bool paused)
{
  cs_channel_pause (connection->channel, paused);
}

void
cs_connections_sweep (cs_target_t *target, bool all, cs_time_us_t now)
{
  cs_connection_t **link = (cs_connection_t **)&target->user;
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
      destroy (connection);
    }
}
