#include <stdlib.h>

#include "common/log.h"
#include "router/target/internal.h"

/* Targets' response heads are a few hundred bytes.  */
#define MAX_RESPONSE_HEAD_BYTES (16U * 1024)
/* A connection is closed as broken after more than this many responses to
   earlier requests.  */
#define MAX_STALE_RESPONSES 2
/* Likewise after more interim (1xx) responses to one request, or a longer body
   of a response to an earlier request.  */
#define MAX_INTERIM_RESPONSES 8
#define MAX_STALE_BYTES (64U * 1024)

void
cs_connection_destroy (cs_connection_t *connection)
{
  cs_channel_close (connection->channel);
  cs_http_reader_destroy (connection->reader);
  cs_target_release (connection->target);
  free (connection);
}

static bool
is_evacuated (const cs_connection_t *connection)
{
  return cs_evacuations_has (connection->env.evacuations,
                             &connection->target->data_centre);
}

/* Returns the connection to the pool or closes it, and reports the result to
   the owner.  */
static void
finish_request (cs_connection_t *connection, int error)
{
  cs_connection_handlers_t handlers = connection->handlers;
  void *context = connection->context;
  bool was_sent = cs_channel_has_sent (connection->channel);
  if (error == CS_OK && !connection->must_close && !connection->target->leaving
      && !is_evacuated (connection)
      && cs_channel_queued (connection->channel) == 0)
    cs_pool_return (connection);
  else
    cs_connection_destroy (connection);
  handlers.on_end (context, error, was_sent);
}

/* The target's data centre may have been evacuated while the connection was
   being established: the request isn't sent then.  */
static void
on_open (void *context)
{
  if (is_evacuated (context))
    finish_request (context, CS_ERR_CONNECT);
}

static bool
on_head (void *context, const cs_http_head_t *head)
{
  cs_connection_t *connection = context;
  cs_target_response_t response;
  if (head->status < 200)
    return true;
  cs_headers_read_response (head, &response);
  /* A refusal without an id on a connection in use again may be a late copy of
     one of an earlier request.  */
  bool is_ours = cs_str_equal (response.id, connection->request_id)
                 || (response.id.len == 0 && response.not_executed
                     && !connection->reused);
  connection->discarding = !is_ours;
  connection->must_close = connection->must_close || !head->keep_alive
                           || head->ends_at_close || connection->discarding;
  if (response.keep_alive_s > 0)
    connection->max_idle_us = response.keep_alive_s * CS_US_PER_S;
  if (!connection->discarding)
    connection->handlers.on_response (connection->context, head, &response);
  return !connection->aborted;
}

static void
on_body (void *context, cs_str_t part)
{
  cs_connection_t *connection = context;
  if (connection->discarding)
    connection->stale_bytes += part.len;
  else if (!connection->aborted)
    connection->handlers.on_body (connection->context, part);
}

/* Whether the target has sent more that answers nothing than a sound one
   would.  */
static bool
has_excess (const cs_connection_t *connection)
{
  return connection->stale_count > MAX_STALE_RESPONSES
         || connection->interim_count > MAX_INTERIM_RESPONSES
         || connection->stale_bytes > MAX_STALE_BYTES;
}

/* Prepares for the next response after an interim one or one to an earlier
   request.  Returns whether another response is expected.  */
static bool
expects_response (cs_connection_t *connection)
{
  bool interim = cs_http_reader_head (connection->reader)->status < 200;
  if (!interim && !connection->discarding)
    return false;
  if (interim)
    connection->interim_count++;
  else
    {
      connection->stale_count++;
      connection->env.counters->stale_answers++;
    }
  connection->discarding = false;
  cs_http_reader_next (connection->reader);
  return !has_excess (connection);
}

/* Records that what the target has sent is no response.  */
static void
report_invalid (const cs_connection_t *connection, const char *fault)
{
  connection->env.counters->invalid_responses++;
  cs_log (CS_EV_INVALID_RESPONSE, "target=%s id=%.*s fault=%s",
          connection->target->id.text, CS_STR_ARG (connection->request_id),
          fault);
}

static void
on_data (void *context, cs_str_t data)
{
  cs_connection_t *connection = context;
  cs_http_state_t state = CS_HTTP_IN_HEAD;
  connection->in_handler = true;
  while (data.len > 0)
    {
      size_t consumed = cs_http_reader_feed (connection->reader, data);
      data.data += consumed;
      data.len -= consumed;
      state = cs_http_reader_state (connection->reader);
      if (connection->aborted || state != CS_HTTP_COMPLETE
          || !expects_response (connection))
        break;
    }
  connection->in_handler = false;
  if (connection->aborted)
    cs_connection_destroy (connection);
  else if (state == CS_HTTP_BROKEN || has_excess (connection))
    {
      report_invalid (connection,
                      state == CS_HTTP_BROKEN
                          ? cs_http_reader_fault (connection->reader)
                          : "excess");
      finish_request (connection, CS_ERR_WRONG_ANSWER);
    }
  else if (state == CS_HTTP_COMPLETE
           && cs_http_reader_state (connection->reader) == CS_HTTP_COMPLETE)
    {
      connection->must_close = connection->must_close || data.len > 0;
      finish_request (connection, CS_OK);
    }
}

/* Reports a head that ended with its connection, or interim responses without
   a final one.  A body that was cut is a failed attempt like others.  */
static void
report_cut_head (const cs_connection_t *connection)
{
  const cs_http_reader_t *reader = connection->reader;
  if (cs_http_reader_state (reader) != CS_HTTP_IN_HEAD)
    return;
  if (cs_http_reader_has_begun (reader))
    report_invalid (connection, "head-cut");
  else if (connection->interim_count > 0)
    report_invalid (connection, "interim-only");
}

static void
on_end (void *context, int error)
{
  cs_connection_t *connection = context;
  connection->must_close = true;
  if (error == CS_OK)
    {
      report_cut_head (connection);
      cs_http_reader_end (connection->reader);
      error = CS_ERR_CUT;
      /* A target that closes before it has the whole request has broken off,
         and its response, which ends here, may be a part.  */
      if (!cs_channel_has_unacknowledged (connection->channel)
          && cs_http_reader_state (connection->reader) == CS_HTTP_COMPLETE
          && !connection->discarding)
        error = CS_OK;
    }
  if (error == CS_ERR_CONNECT)
    connection->env.counters->connects_failed++;
  finish_request (connection, error);
}

static const cs_channel_handlers_t busy_handlers
    = { .on_open = on_open, .on_data = on_data, .on_end = on_end };

static const cs_http_handlers_t reader_handlers
    = { .on_head = on_head, .on_body = on_body };

static cs_connection_t *
open_connection (const cs_connection_env_t *env, cs_target_t *target)
{
  cs_connection_t *connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    return NULL;
  connection->env = *env;
  connection->target = cs_target_reference (target);
  connection->max_idle_us = env->settings->idle_ms * CS_US_PER_MS;
  connection->reader
      = cs_http_reader_create (CS_HTTP_RESPONSES, MAX_RESPONSE_HEAD_BYTES,
                               &reader_handlers, connection);
  connection->channel
      = cs_channel_connect (env->loop, &target->address,
                            env->settings->connect_timeout_ms * CS_US_PER_MS,
                            env->settings->unacknowledged_ms * CS_US_PER_MS,
                            &busy_handlers, connection);
  if (connection->reader == NULL || connection->channel == NULL)
    {
      cs_connection_destroy (connection);
      return NULL;
    }
  env->counters->connects++;
  return connection;
}

cs_connection_t *
cs_connection_send (const cs_connection_env_t *env, cs_target_t *target,
                    const cs_connection_request_t *request,
                    const cs_connection_handlers_t *handlers, void *context)
{
  cs_connection_t *connection
      = cs_pool_take (env, target, request->require_fresh);
  if (connection == NULL)
    connection = open_connection (env, target);
  if (connection == NULL)
    return NULL;
  connection->handlers = *handlers;
  connection->context = context;
  connection->request_id = request->request_id;
  connection->stale_count = 0;
  connection->interim_count = 0;
  connection->stale_bytes = 0;
  connection->discarding = false;
  connection->must_close = false;
  cs_http_reader_expect_no_body (connection->reader, request->is_head);
  cs_channel_set_owner (connection->channel, &busy_handlers, connection);
  if (cs_channel_send (connection->channel, request->head) != 0
      || cs_channel_send (connection->channel, request->body) != 0)
    {
      cs_connection_destroy (connection);
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
    cs_connection_destroy (connection);
}

void
cs_connection_pause (cs_connection_t *connection, bool paused)
{
  cs_channel_pause (connection->channel, paused);
}

bool
cs_connection_read (cs_connection_t *connection)
{
  if (!cs_channel_has_input (connection->channel))
    return false;
  cs_channel_read (connection->channel);
  return true;
}

bool
cs_connection_is_reused (const cs_connection_t *connection)
{
  return connection->reused;
}
