#include "http/client.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/error.h"
#include "http/reader.h"

#define MAX_RESPONSE_HEAD_BYTES (64U * 1024)
#define READ_BUFFER_BYTES 16384
/* TCP keepalive: idle time before the first probe, then time between probes.
 */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_INTERVAL_S 5

struct cs_http_client
{
  int fd; /* -1 when not connected */
  cs_http_reader_t *reader;
  const cs_http_sink_t *sink; /* of the current call */
  void *context;
  int sink_rc;
};

static bool
on_head (void *context, const cs_http_head_t *head)
{
  cs_http_client_t *client = context;
  if (head->status >= 200)
    client->sink_rc = client->sink->on_head (client->context, head);
  return client->sink_rc == 0;
}

static void
on_body (void *context, cs_str_t part)
{
  cs_http_client_t *client = context;
  if (client->sink_rc == 0)
    client->sink_rc = client->sink->on_body (client->context, part);
}

static const cs_http_handlers_t handlers
    = { .on_head = on_head, .on_body = on_body };

cs_http_client_t *
cs_http_client_create (void)
{
  cs_http_client_t *client = calloc (1, sizeof *client);
  if (client == NULL)
    return NULL;
  client->fd = -1;
  client->reader = cs_http_reader_create (
      CS_HTTP_RESPONSES, MAX_RESPONSE_HEAD_BYTES, &handlers, client);
  if (client->reader != NULL)
    return client;
  free (client);
  return NULL;
}

static void
disconnect (cs_http_client_t *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

void
cs_http_client_destroy (cs_http_client_t *client)
{
  if (client == NULL)
    return;
  disconnect (client);
  cs_http_reader_destroy (client->reader);
  free (client);
}

bool
cs_http_client_is_connected (const cs_http_client_t *client)
{
  return client->fd >= 0;
}

static void
set_socket_options (int fd)
{
  int on = 1;
  int idle = KEEPALIVE_IDLE_S;
  int interval = KEEPALIVE_INTERVAL_S;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
}

/* Waits for a non-blocking connect; returns false when it fails or times out.
 */
static bool
finish_connect (int fd, uint32_t connect_ms)
{
  struct pollfd wait = { .fd = fd, .events = POLLOUT };
  int error = 0;
  socklen_t len = sizeof error;
  if (poll (&wait, 1, (int)connect_ms) <= 0)
    return false;
  getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len);
  return error == 0;
}

static int
open_connection (cs_http_client_t *client, const cs_http_call_t *call)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return CS_ERR_CONNECT;
  bool failed = connect (fd, (const struct sockaddr *)&call->address,
                         sizeof call->address)
                    != 0
                && errno != EINPROGRESS;
  if (failed || !finish_connect (fd, call->connect_ms))
    {
      close (fd);
      return CS_ERR_CONNECT;
    }
  set_socket_options (fd);
  client->fd = fd;
  return CS_OK;
}

/* Waits until the connection is ready for EVENTS.  Returns 0, CS_ERR_SILENT at
   the sink's deadline, CS_ERR_CUT, or the non-zero result of its on_idle.  */
static int
wait_for (cs_http_client_t *client, short events)
{
  const cs_http_sink_t *sink = client->sink;
  struct pollfd wait = { .fd = client->fd, .events = events };
  while (true)
    {
      cs_time_us_t now = cs_clock_now ();
      cs_time_us_t deadline = sink->timeout_at (client->context);
      if (now >= deadline)
        return CS_ERR_SILENT;
      uint64_t wait_ms = (deadline - now) / CS_US_PER_MS + 1;
      if (sink->on_idle != NULL && wait_ms > sink->idle_ms)
        wait_ms = sink->idle_ms;
      if (wait_ms > INT32_MAX)
        wait_ms = INT32_MAX;
      int ready = poll (&wait, 1, (int)wait_ms);
      if (ready > 0)
        return CS_OK;
      if (ready < 0 && errno != EINTR)
        return CS_ERR_CUT;
      int rc = sink->on_idle == NULL ? 0 : sink->on_idle (client->context);
      if (rc != 0)
        return rc;
    }
}

static int
send_all (cs_http_client_t *client, cs_str_t data, bool *was_sent)
{
  while (data.len > 0)
    {
      ssize_t sent = send (client->fd, data.data, data.len, MSG_NOSIGNAL);
      if (sent > 0)
        {
          *was_sent = true;
          data.data += sent;
          data.len -= (size_t)sent;
          continue;
        }
      if (errno != EAGAIN && errno != EINTR)
        return CS_ERR_CUT;
      int rc = wait_for (client, POLLOUT);
      if (rc != 0)
        return rc;
    }
  return CS_OK;
}

/* Returns the result of a call whose response is complete or cannot continue.
   A response that is broken before its head was parsed is CS_ERR_WRONG_ANSWER,
   or CS_ERR_CUT if the connection has ended, which may have truncated it.  */
static int
call_result (const cs_http_client_t *client, bool connection_ended)
{
  cs_http_state_t state = cs_http_reader_state (client->reader);
  if (client->sink_rc != 0)
    return client->sink_rc;
  if (state == CS_HTTP_COMPLETE)
    return CS_OK;
  const cs_http_head_t *head = cs_http_reader_head (client->reader);
  if (state == CS_HTTP_BROKEN && head->status == 0 && !connection_ended)
    return CS_ERR_WRONG_ANSWER;
  return CS_ERR_CUT;
}

/* Passes received data to the reader.  Returns true when the response has
   ended; a connection with bytes beyond it is closed, since they would be
   taken for the next response.  */
static bool
process_data (cs_http_client_t *client, cs_str_t data)
{
  while (data.len > 0)
    {
      size_t taken = cs_http_reader_feed (client->reader, data);
      cs_http_state_t state = cs_http_reader_state (client->reader);
      data.data += taken;
      data.len -= taken;
      if (client->sink_rc != 0 || state == CS_HTTP_BROKEN)
        return true;
      if (state != CS_HTTP_COMPLETE)
        continue;
      if (cs_http_reader_head (client->reader)->status >= 200)
        {
          if (data.len > 0)
            disconnect (client);
          return true;
        }
      cs_http_reader_next (client->reader);
    }
  return false;
}

static int
read_response (cs_http_client_t *client)
{
  char part[READ_BUFFER_BYTES];
  while (true)
    {
      int rc = wait_for (client, POLLIN);
      if (rc != 0)
        return rc;
      ssize_t got = recv (client->fd, part, sizeof part, 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR))
        continue;
      if (got == 0)
        cs_http_reader_end (client->reader);
      if (got <= 0)
        return call_result (client, true);
      if (process_data (client, (cs_str_t){ part, (size_t)got }))
        return call_result (client, false);
    }
}

/* An idle connection that is readable was closed by the server, or carries
   unsolicited bytes.  */
static bool
is_stale (int fd)
{
  struct pollfd wait = { .fd = fd, .events = POLLIN };
  return poll (&wait, 1, 0) != 0;
}

static int
exchange (cs_http_client_t *client, const cs_http_call_t *call, bool *was_sent)
{
  cs_http_reader_next (client->reader);
  cs_http_reader_expect_no_body (client->reader, call->is_head_request);
  int rc = send_all (client, call->head, was_sent);
  if (rc == 0)
    rc = send_all (client, call->body, was_sent);
  return rc != 0 ? rc : read_response (client);
}

int
cs_http_client_call (cs_http_client_t *client, const cs_http_call_t *call,
                     const cs_http_sink_t *sink, void *context, bool *was_sent)
{
  client->sink = sink;
  client->context = context;
  client->sink_rc = 0;
  *was_sent = false;
  if (client->fd >= 0 && is_stale (client->fd))
    disconnect (client);
  bool reused = client->fd >= 0;
  int rc = reused ? CS_OK : open_connection (client, call);
  if (rc == 0)
    rc = exchange (client, call, was_sent);
  if (rc == CS_ERR_CUT && reused && call->can_retry
      && !cs_http_reader_has_begun (client->reader))
    {
      disconnect (client);
      rc = open_connection (client, call);
      if (rc == 0)
        rc = exchange (client, call, was_sent);
    }
  if (rc != 0 || !cs_http_reader_head (client->reader)->keep_alive)
    disconnect (client);
  return rc;
}
