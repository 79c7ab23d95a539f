/* Connections of the web server, shared by its event loop thread and its
   workers.  */

#ifndef CS_DAEMON_WEB_INTERNAL_H
#define CS_DAEMON_WEB_INTERNAL_H

#include <event2/event.h>
#include <pthread.h>

#include "common/clock.h"
#include "daemon/web.h"
#include "http/reader.h"

/* A connection and its current request.  Used by one thread at a time: by the
   event loop thread while it waits for a request, by a worker while the
   request is served.  */
struct cs_web_request
{
  cs_web_t *web;
  cs_web_request_t *next; /* in the queue or the list of the server */
  cs_web_request_t *next_idle;
  cs_web_request_t *previous_idle;
  int fd;
  struct event *event; /* readable or timed out */
  cs_http_reader_t *reader;
  cs_buf_t read_ahead; /* input received but not parsed yet */
  cs_buf_t *body;      /* destination while the body is read */
  size_t max_body_bytes;
  int body_rc;
  char *path; /* owned; QUERY points into the same string */
  const char *query;
  bool head_done;
  bool close_after;
  bool lingering; /* output is shut down; input is discarded */
  cs_time_us_t linger_until;
};

struct cs_web
{
  cs_web_options_t options;
  struct event_base *base;
  int listen_fd;
  struct event *accept_event;
  int wake[2]; /* pipe; a byte wakes the event loop to take returned
                  connections or to stop */
  struct event *wake_event;
  pthread_t thread;
  pthread_t *workers;
  uint32_t worker_count;
  cs_web_request_t *idle; /* used by the event loop thread only */

  pthread_mutex_t lock; /* guards the members below; leaf lock */
  pthread_cond_t arrived;
  cs_web_request_t *first; /* queue of requests waiting for a worker */
  cs_web_request_t *last;
  cs_web_request_t *returned; /* connections to await requests on again */
  bool stopping;
};

/* Serves the request that has arrived on the connection.  Called by a worker.
   Returns true if the connection is to be returned to the event loop thread,
   false if it is to be freed.  */
bool cs_web_serve (cs_web_request_t *request);

/* Begins a lingering close: shuts down the output and discards input until the
   peer closes the connection.  Closing it at once could cause a reset, which
   could prevent the peer from reading the last response.  */
void cs_web_begin_linger (cs_web_request_t *request);

/* Waits on a connection for its next request, which may have been received
   already, or for its end.  This and the next two functions are called by the
   event loop thread only.  */
void cs_web_await_request (cs_web_request_t *request);
void cs_web_on_event (evutil_socket_t fd, short what, void *argument);
void cs_web_close_connection (cs_web_request_t *request);

extern const cs_http_handlers_t cs_web_reader_handlers;

void cs_web_free_connection (cs_web_request_t *request);

#endif
