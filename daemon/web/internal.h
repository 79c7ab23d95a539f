/* Connections of the web server, shared by its thread and its workers.  */

#ifndef CS_DAEMON_WEB_INTERNAL_H
#define CS_DAEMON_WEB_INTERNAL_H

#include <event2/event.h>
#include <pthread.h>

#include "common/clock.h"
#include "daemon/web.h"
#include "http/reader.h"

/* A connection is used by one thread at a time: the server's while it waits
   for a request, a worker's while that is served.  */
struct cs_web_request
{
  cs_web_t *web;
  cs_web_request_t *next; /* in a queue */
  cs_web_request_t *next_idle;
  cs_web_request_t *previous_idle;
  int fd;
  struct event *event; /* readable, or timed out */
  cs_http_reader_t *reader;
  cs_buf_t ahead; /* received beyond the head */
  cs_buf_t *body; /* where the body goes while it is read */
  size_t body_most;
  int body_rc;
  char *path; /* owned, as is the query behind it */
  const char *query;
  bool head_done;
  bool close_after;
  bool finishing; /* answered for good; the rest is read and dropped */
  cs_time_us_t finish_until;
};

struct cs_web
{
  cs_web_options_t options;
  struct event_base *base;
  int listen_fd;
  struct event *accept_event;
  int wake[2]; /* a byte: connections are back, or it is time to stop */
  struct event *wake_event;
  pthread_t thread;
  pthread_t *workers;
  uint32_t worker_count;
  cs_web_request_t *idle; /* of the server's thread */

  pthread_mutex_t lock; /* guards what follows; a leaf */
  pthread_cond_t arrived;
  cs_web_request_t *first; /* requests that wait for a worker */
  cs_web_request_t *last;
  cs_web_request_t *returned; /* connections to wait on again */
  bool stopping;
};

/* Serves the request that has arrived on the connection.  Returns whether the
   connection goes back to the server's thread.  */
bool cs_web_serve (cs_web_request_t *request);

/* Ends the output.  What the peer still sends is read and dropped until it
   closes, since a reset could keep it from reading the last answer.  */
void cs_web_finish (cs_web_request_t *request);

/* Waits on a connection for its next request, which may have come already, or
   for its end.  Of the server's thread, as is what follows.  */
void cs_web_wait_on (cs_web_request_t *request);
void cs_web_on_event (evutil_socket_t fd, short what, void *argument);
void cs_web_drop (cs_web_request_t *request);

extern const cs_http_handlers_t cs_web_reader_handlers;

void cs_web_free_connection (cs_web_request_t *request);

#endif
