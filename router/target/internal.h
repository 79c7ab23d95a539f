/* State of a connection to a target, private to this folder.  */

#ifndef CS_ROUTER_TARGET_INTERNAL_H
#define CS_ROUTER_TARGET_INTERNAL_H

#include "http/reader.h"
#include "net/channel.h"
#include "router/connection.h"

struct cs_connection
{
  cs_connection_env_t env;
  cs_target_t *target;
  cs_channel_t *channel;
  cs_http_reader_t *reader;
  cs_connection_t *next; /* in the pool, most recently used first */
  cs_time_us_t idle_since;
  cs_time_us_t max_idle_us;
  cs_connection_handlers_t handlers;
  void *context;
  cs_str_t request_id;
  bool reused; /* carried a request before this one */
  uint32_t stale_count;
  uint32_t interim_count;
  size_t stale_bytes;
  bool discarding; /* the current response is for another request */
  bool must_close; /* cannot be reused for another request */
  bool aborted;    /* cancelled by the owner from within a handler */
  bool in_handler;
};

/* Closes CONNECTION, which is not in a pool, and frees it.  */
void cs_connection_destroy (cs_connection_t *connection);

/* pool.c: idle connections to a target.  */

void cs_pool_return (cs_connection_t *connection);

/* Returns an idle connection to TARGET, or NULL if there is none that may be
   used; REQUIRE_FRESH: for a request that must not be retried.  */
cs_connection_t *cs_pool_take (const cs_connection_env_t *env,
                               cs_target_t *target, bool require_fresh);

#endif
