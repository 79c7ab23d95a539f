/* An endpoint: the runtime state of a target, which is its connection pool,
   lifecycle state and load.
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
  uint64_t generation; /* of the pool when it was created */
} cs_connection_t;

/* The most recent load report of a target.  */
typedef struct
{
  uint32_t running;
  uint32_t waiting;
  cs_time_us_t taken; /* time of the report */
  cs_name_t version;  /* version that the engine has loaded; only from polls */
} cs_target_load_t;

typedef struct cs_endpoint cs_endpoint_t;

/* Returns a new reference to an endpoint for a copy of TARGET, or NULL if
   memory is exhausted.  */
cs_endpoint_t *cs_endpoint_create (const cs_target_t *target);
cs_endpoint_t *cs_endpoint_ref (cs_endpoint_t *endpoint);
void cs_endpoint_unref (cs_endpoint_t *endpoint);

/* Returns the id of a target in pools and peer frames: a hash of its name,
   never 0.  */
uint64_t cs_endpoint_id_of (cs_str_t name);
uint64_t cs_endpoint_id (const cs_endpoint_t *endpoint);

/* Returns the target's entry in the release.  Borrowed, immutable.  */
const cs_target_t *cs_endpoint_target (const cs_endpoint_t *endpoint);

/* Returns a pooled connection not older than MAX_AGE_US, or a new one, which
   is not connected yet.  With FORCE_NEW it is always a new one.  Returns NULL
   if memory is exhausted.  End with cs_endpoint_release_connection.  */
cs_connection_t *cs_endpoint_acquire_connection (cs_endpoint_t *endpoint,
                                                 bool force_new,
                                                 cs_time_us_t max_age_us,
                                                 cs_time_us_t now);

/* Returns a connection to the pool if GOOD says that it can be reused, else
   closes it.  */
void cs_endpoint_release_connection (cs_endpoint_t *endpoint,
                                     cs_connection_t *connection, bool good);

/* Closes all pooled connections, and those in use when they are released.
   Used after a connection failed or timed out, as the others are then likely
   to be dead too.  */
void cs_endpoint_drop_connections (cs_endpoint_t *endpoint);

/* Applies a report on the lifecycle of the target; see
   cranberrystile/target_view.h.  */
cs_view_change_t cs_endpoint_update_view (cs_endpoint_t *endpoint,
                                          cs_str_t instance, bool leaving);

bool cs_endpoint_is_leaving (cs_endpoint_t *endpoint);

/* Copies the instance last reported, which is empty before the first report.
 */
void cs_endpoint_instance (cs_endpoint_t *endpoint, cs_name_t *out);

/* Stores LOAD unless a more recent report is stored.  */
void cs_endpoint_set_load (cs_endpoint_t *endpoint,
                           const cs_target_load_t *load);

/* Copies the stored load; all its members are 0 before the first report.  */
void cs_endpoint_load (cs_endpoint_t *endpoint, cs_target_load_t *out);

#endif
