/* The running side of a target: its connections and what it said of itself.
   Reference-counted and thread-safe.  */

#ifndef CS_DAEMON_ENDPOINT_H
#define CS_DAEMON_ENDPOINT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "cranberrystile/release.h"
#include "cranberrystile/target_view.h"
#include "http/client.h"

/* A connection to a target.  */
typedef struct
{
  cs_http_client_t *client;
  cs_time_us_t created;
  uint64_t generation;
} cs_connection_t;

/* The last load report of a target.  */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  cs_time_us_t taken;
  cs_name_t version; /* loaded version, from polls */
} cs_target_load_t;

typedef struct cs_endpoint cs_endpoint_t;

cs_endpoint_t *cs_endpoint_create (const cs_target_t *target);
cs_endpoint_t *cs_endpoint_ref (cs_endpoint_t *endpoint);
void cs_endpoint_unref (cs_endpoint_t *endpoint);

/* Hash of the target's name: its id in pools and in frames.  */
uint64_t cs_endpoint_id_of (cs_str_t name);
uint64_t cs_endpoint_id (const cs_endpoint_t *endpoint);

/* The entry of the release.  Borrowed, immutable.  */
const cs_target_t *cs_endpoint_target (const cs_endpoint_t *endpoint);

/* Takes a pooled connection younger than AGE_US, or a new one.  FRESH asks for
   one that was never used.  NULL without memory.  */
cs_connection_t *cs_endpoint_take (cs_endpoint_t *endpoint, bool fresh,
                                   cs_time_us_t age_us, cs_time_us_t now);

/* Returns a connection to the pool if GOOD, else ends it.  */
void cs_endpoint_give (cs_endpoint_t *endpoint, cs_connection_t *connection,
                       bool good);

/* Ends all pooled connections, and those in use when they are given back: one
   connection that went silent says that the others may have as well.  */
void cs_endpoint_drop_connections (cs_endpoint_t *endpoint);

/* Takes the word of a source; see cranberrystile/target_view.h.  */
cs_view_change_t cs_endpoint_hear (cs_endpoint_t *endpoint, cs_str_t instance,
                                   bool leaving);
bool cs_endpoint_is_leaving (cs_endpoint_t *endpoint);
void cs_endpoint_instance (cs_endpoint_t *endpoint, cs_name_t *out);
void cs_endpoint_set_load (cs_endpoint_t *endpoint,
                           const cs_target_load_t *load);
void cs_endpoint_load (cs_endpoint_t *endpoint, cs_target_load_t *out);

#endif
