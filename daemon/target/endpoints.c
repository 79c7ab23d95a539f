#include "daemon/endpoints.h"

#include <pthread.h>
#include <stdlib.h>

#include <urcu-bp.h>

typedef struct
{
  size_t count;
  cs_endpoint_t *endpoints[]; /* sorted by id */
} table_t;

struct cs_endpoints
{
  cs_name_t data_centre;
  table_t *table;              /* read under RCU */
  pthread_mutex_t update_lock; /* serialises updates */
};

static table_t *
create_table (size_t capacity)
{
  return calloc (1,
                 sizeof (table_t) + (capacity + 1) * sizeof (cs_endpoint_t *));
}

static void
destroy_table (table_t *table)
{
  if (table == NULL)
    return;
  for (size_t i = 0; i < table->count; i++)
    cs_endpoint_unref (table->endpoints[i]);
  free (table);
}

cs_endpoints_t *
cs_endpoints_create (cs_str_t data_centre)
{
  cs_endpoints_t *endpoints = calloc (1, sizeof *endpoints);
  if (endpoints == NULL)
    return NULL;
  cs_name_set (&endpoints->data_centre, data_centre);
  endpoints->table = create_table (0);
  if (endpoints->table == NULL)
    {
      free (endpoints);
      return NULL;
    }
  pthread_mutex_init (&endpoints->update_lock, NULL);
  return endpoints;
}

void
cs_endpoints_destroy (cs_endpoints_t *endpoints)
{
  if (endpoints == NULL)
    return;
  synchronize_rcu ();
  destroy_table (endpoints->table);
  pthread_mutex_destroy (&endpoints->update_lock);
  free (endpoints);
}

static int
compare_endpoints (const void *a, const void *b)
{
  uint64_t x = cs_endpoint_id (*(cs_endpoint_t *const *)a);
  uint64_t y = cs_endpoint_id (*(cs_endpoint_t *const *)b);
  return x < y ? -1 : x > y;
}

static cs_endpoint_t *
find_in_table (const table_t *table, uint64_t id)
{
  size_t low = 0;
  size_t high = table->count;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      uint64_t found = cs_endpoint_id (table->endpoints[middle]);
      if (found == id)
        return table->endpoints[middle];
      if (found < id)
        low = middle + 1;
      else
        high = middle;
    }
  return NULL;
}

static bool
is_in_region (const cs_release_t *release, const cs_target_t *target,
              const cs_name_t *region)
{
  cs_name_t other;
  cs_release_region_of (release, cs_name_str (&target->data_centre), &other);
  return cs_name_equal (&other, region);
}

static bool
targets_equal (const cs_target_t *a, const cs_target_t *b)
{
  return cs_name_equal (&a->name, &b->name)
         && cs_name_equal (&a->offering, &b->offering)
         && cs_name_equal (&a->data_centre, &b->data_centre)
         && cs_name_equal (&a->address, &b->address) && a->slots == b->slots
         && a->checks_fencing == b->checks_fencing
         && cs_name_equal (&a->version, &b->version);
}

/* Returns a reference to the endpoint in OLD if its target is unchanged, else
   a new endpoint.  */
static cs_endpoint_t *
reuse_or_create (const table_t *old, const cs_target_t *target)
{
  uint64_t id = cs_endpoint_id_of (cs_name_str (&target->name));
  cs_endpoint_t *known = find_in_table (old, id);
  if (known != NULL && targets_equal (cs_endpoint_target (known), target))
    return cs_endpoint_ref (known);
  cs_endpoint_t *created = cs_endpoint_create (target);
  if (created == NULL || known == NULL
      || !cs_name_equal (&cs_endpoint_target (known)->address,
                         &target->address))
    return created;
  /* The entry has changed but the process is the same, so its reported
     instance and state still hold.  */
  cs_name_t instance;
  cs_endpoint_instance (known, &instance);
  cs_endpoint_update_view (created, cs_name_str (&instance),
                           cs_endpoint_is_leaving (known));
  return created;
}

int
cs_endpoints_update (cs_endpoints_t *endpoints, const cs_release_t *release)
{
  size_t count;
  cs_name_t region;
  const cs_target_t *targets = cs_release_targets (release, &count);
  table_t *table = create_table (count);
  if (table == NULL)
    return CS_ERR_NO_MEMORY;
  cs_release_region_of (release, cs_name_str (&endpoints->data_centre),
                        &region);
  pthread_mutex_lock (&endpoints->update_lock);
  table_t *old = endpoints->table;
  for (size_t i = 0; i < count; i++)
    {
      if (!is_in_region (release, &targets[i], &region))
        continue;
      cs_endpoint_t *endpoint = reuse_or_create (old, &targets[i]);
      if (endpoint != NULL)
        table->endpoints[table->count++] = endpoint;
    }
  qsort (table->endpoints, table->count, sizeof table->endpoints[0],
         compare_endpoints);
  rcu_assign_pointer (endpoints->table, table);
  synchronize_rcu ();
  pthread_mutex_unlock (&endpoints->update_lock);
  destroy_table (old);
  return 0;
}

cs_endpoint_t *
cs_endpoints_find (cs_endpoints_t *endpoints, uint64_t id)
{
  rcu_read_lock ();
  cs_endpoint_t *found
      = find_in_table (rcu_dereference (endpoints->table), id);
  if (found != NULL)
    cs_endpoint_ref (found);
  rcu_read_unlock ();
  return found;
}

size_t
cs_endpoints_list (cs_endpoints_t *endpoints, cs_str_t offering,
                   cs_endpoint_t ***out)
{
  size_t found = 0;
  rcu_read_lock ();
  const table_t *table = rcu_dereference (endpoints->table);
  *out = calloc (table->count + 1, sizeof **out);
  for (size_t i = 0; *out != NULL && i < table->count; i++)
    {
      const cs_target_t *target = cs_endpoint_target (table->endpoints[i]);
      if (offering.data != NULL
          && !cs_str_equal (cs_name_str (&target->offering), offering))
        continue;
      (*out)[found++] = cs_endpoint_ref (table->endpoints[i]);
    }
  rcu_read_unlock ();
  return found;
}

void
cs_endpoints_free_list (cs_endpoint_t **list, size_t count)
{
  for (size_t i = 0; i < count; i++)
    cs_endpoint_unref (list[i]);
  free (list);
}
