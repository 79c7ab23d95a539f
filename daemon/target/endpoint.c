#include "daemon/endpoint.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "common/hash.h"

#define MAX_POOLED 64

struct cs_endpoint
{
  atomic_int refs;
  uint64_t id;
  cs_target_t target;
  pthread_mutex_t lock; /* guards the members below; leaf lock */
  cs_connection_t *pooled[MAX_POOLED];
  size_t pooled_count;
  uint64_t generation; /* connections of older ones are not reused */
  cs_target_view_t view;
  cs_target_load_t load;
};

uint64_t
cs_endpoint_id_of (cs_str_t name)
{
  uint64_t id = cs_hash (name, 0);
  return id == 0 ? 1 : id;
}

cs_endpoint_t *
cs_endpoint_create (const cs_target_t *target)
{
  cs_endpoint_t *endpoint = calloc (1, sizeof *endpoint);
  if (endpoint == NULL)
    return NULL;
  atomic_store (&endpoint->refs, 1);
  endpoint->id = cs_endpoint_id_of (cs_name_str (&target->name));
  endpoint->target = *target;
  pthread_mutex_init (&endpoint->lock, NULL);
  return endpoint;
}

cs_endpoint_t *
cs_endpoint_ref (cs_endpoint_t *endpoint)
{
  atomic_fetch_add (&endpoint->refs, 1);
  return endpoint;
}

static void
destroy_connection (cs_connection_t *connection)
{
  cs_http_client_destroy (connection->client);
  free (connection);
}

void
cs_endpoint_unref (cs_endpoint_t *endpoint)
{
  if (endpoint == NULL || atomic_fetch_sub (&endpoint->refs, 1) > 1)
    return;
  for (size_t i = 0; i < endpoint->pooled_count; i++)
    destroy_connection (endpoint->pooled[i]);
  pthread_mutex_destroy (&endpoint->lock);
  free (endpoint);
}

uint64_t
cs_endpoint_id (const cs_endpoint_t *endpoint)
{
  return endpoint->id;
}

const cs_target_t *
cs_endpoint_target (const cs_endpoint_t *endpoint)
{
  return &endpoint->target;
}

static cs_connection_t *
create_connection (uint64_t generation, cs_time_us_t now)
{
  cs_connection_t *connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    return NULL;
  connection->created = now;
  connection->generation = generation;
  connection->client = cs_http_client_create ();
  if (connection->client != NULL)
    return connection;
  free (connection);
  return NULL;
}

cs_connection_t *
cs_endpoint_acquire_connection (cs_endpoint_t *endpoint, bool force_new,
                                cs_time_us_t max_age_us, cs_time_us_t now)
{
  cs_connection_t *found = NULL;
  cs_connection_t *expired = NULL;
  pthread_mutex_lock (&endpoint->lock);
  uint64_t generation = endpoint->generation;
  if (!force_new && endpoint->pooled_count > 0)
    found = endpoint->pooled[--endpoint->pooled_count];
  pthread_mutex_unlock (&endpoint->lock);
  if (found != NULL && now > found->created + max_age_us)
    {
      expired = found;
      found = NULL;
    }
  if (expired != NULL)
    destroy_connection (expired);
  return found != NULL ? found : create_connection (generation, now);
}

void
cs_endpoint_release_connection (cs_endpoint_t *endpoint,
                                cs_connection_t *connection, bool good)
{
  pthread_mutex_lock (&endpoint->lock);
  bool reusable = good && cs_http_client_is_connected (connection->client)
                  && connection->generation == endpoint->generation
                  && endpoint->pooled_count < MAX_POOLED;
  if (reusable)
    endpoint->pooled[endpoint->pooled_count++] = connection;
  pthread_mutex_unlock (&endpoint->lock);
  if (!reusable)
    destroy_connection (connection);
}

void
cs_endpoint_drop_connections (cs_endpoint_t *endpoint)
{
  cs_connection_t *dropped[MAX_POOLED];
  pthread_mutex_lock (&endpoint->lock);
  size_t count = endpoint->pooled_count;
  for (size_t i = 0; i < count; i++)
    dropped[i] = endpoint->pooled[i];
  endpoint->pooled_count = 0;
  endpoint->generation++;
  pthread_mutex_unlock (&endpoint->lock);
  for (size_t i = 0; i < count; i++)
    destroy_connection (dropped[i]);
}

cs_view_change_t
cs_endpoint_update_view (cs_endpoint_t *endpoint, cs_str_t instance,
                         bool leaving)
{
  pthread_mutex_lock (&endpoint->lock);
  cs_view_change_t change
      = cs_target_view_update (&endpoint->view, instance, leaving);
  pthread_mutex_unlock (&endpoint->lock);
  return change;
}

bool
cs_endpoint_is_leaving (cs_endpoint_t *endpoint)
{
  pthread_mutex_lock (&endpoint->lock);
  bool leaving = endpoint->view.leaving;
  pthread_mutex_unlock (&endpoint->lock);
  return leaving;
}

void
cs_endpoint_instance (cs_endpoint_t *endpoint, cs_name_t *out)
{
  pthread_mutex_lock (&endpoint->lock);
  *out = endpoint->view.instance;
  pthread_mutex_unlock (&endpoint->lock);
}

void
cs_endpoint_set_load (cs_endpoint_t *endpoint, const cs_target_load_t *load)
{
  pthread_mutex_lock (&endpoint->lock);
  if (load->taken >= endpoint->load.taken)
    endpoint->load = *load;
  pthread_mutex_unlock (&endpoint->lock);
}

void
cs_endpoint_load (cs_endpoint_t *endpoint, cs_target_load_t *out)
{
  pthread_mutex_lock (&endpoint->lock);
  *out = endpoint->load;
  pthread_mutex_unlock (&endpoint->lock);
}
