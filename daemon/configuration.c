#include "daemon/configuration.h"

#include <malloc.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <urcu-bp.h>

#include "common/log.h"

#define MAX_NOTES 64

typedef struct
{
  uint64_t revision;
  json_t *note;
} stored_note_t;

struct cs_configuration
{
  cs_release_t *release;        /* read under RCU; NULL until the first one */
  atomic_ullong revision;       /* of RELEASE; 0 until the first one */
  pthread_mutex_t install_lock; /* serialises installs; outermost lock */
  pthread_mutex_t notes_lock;   /* guards notes; leaf lock */
  stored_note_t notes[MAX_NOTES]; /* ring, indexed by revision */
  cs_configuration_changed_fn *changed;
  void *context;
};

cs_configuration_t *
cs_configuration_create (cs_configuration_changed_fn *changed, void *context)
{
  cs_configuration_t *configuration = calloc (1, sizeof *configuration);
  if (configuration == NULL)
    return NULL;
  pthread_mutex_init (&configuration->install_lock, NULL);
  pthread_mutex_init (&configuration->notes_lock, NULL);
  configuration->changed = changed;
  configuration->context = context;
  return configuration;
}

void
cs_configuration_destroy (cs_configuration_t *configuration)
{
  if (configuration == NULL)
    return;
  synchronize_rcu ();
  cs_release_destroy (configuration->release);
  for (size_t i = 0; i < MAX_NOTES; i++)
    json_decref (configuration->notes[i].note);
  pthread_mutex_destroy (&configuration->install_lock);
  pthread_mutex_destroy (&configuration->notes_lock);
  free (configuration);
}

/* Puts RELEASE in force if it is newer.  The caller holds install_lock.  */
static bool
install_release_locked (cs_configuration_t *configuration,
                        cs_release_t *release)
{
  cs_release_t *old = configuration->release;
  uint64_t revision = cs_release_revision (release);
  if (old != NULL && revision <= cs_release_revision (old))
    {
      cs_release_destroy (release);
      return false;
    }
  rcu_assign_pointer (configuration->release, release);
  atomic_store (&configuration->revision, revision);
  synchronize_rcu ();
  cs_release_destroy (old);
  /* Applying a large release takes several times its size in memory; return
     what was freed to the system.  */
  malloc_trim (0);
  cs_log (CS_EV_RELEASE_APPLIED, "revision=%llu",
          (unsigned long long)revision);
  configuration->changed (configuration->context, release);
  return true;
}

bool
cs_configuration_install (cs_configuration_t *configuration,
                          cs_release_t *release)
{
  pthread_mutex_lock (&configuration->install_lock);
  bool installed = install_release_locked (configuration, release);
  pthread_mutex_unlock (&configuration->install_lock);
  return installed;
}

static void
store_note (cs_configuration_t *configuration, uint64_t revision,
            const json_t *note)
{
  stored_note_t *stored = &configuration->notes[revision % MAX_NOTES];
  pthread_mutex_lock (&configuration->notes_lock);
  json_decref (stored->note);
  stored->note = json_deep_copy (note);
  stored->revision = revision;
  pthread_mutex_unlock (&configuration->notes_lock);
}

int
cs_configuration_install_note (cs_configuration_t *configuration,
                               uint64_t revision, const json_t *note)
{
  cs_release_t *next = NULL;
  cs_buf_t reason = { 0 };
  int rc = CS_ERR_CONFLICT;
  pthread_mutex_lock (&configuration->install_lock);
  if (configuration->release == NULL
      || cs_release_revision (configuration->release) + 1 != revision)
    goto out;
  rc = cs_release_apply (configuration->release, note, &next, &reason);
  if (rc != 0)
    {
      cs_log (CS_EV_RELEASE_REJECTED, "revision=%llu reason=\"%s\"",
              (unsigned long long)revision,
              reason.data == NULL ? "" : reason.data);
      goto out;
    }
  store_note (configuration, revision, note);
  install_release_locked (configuration, next);
out:
  pthread_mutex_unlock (&configuration->install_lock);
  cs_buf_free (&reason);
  return rc;
}

uint64_t
cs_configuration_revision (cs_configuration_t *configuration)
{
  return atomic_load (&configuration->revision);
}

bool
cs_configuration_has_release (cs_configuration_t *configuration)
{
  rcu_read_lock ();
  bool has_release = rcu_dereference (configuration->release) != NULL;
  rcu_read_unlock ();
  return has_release;
}

bool
cs_configuration_offering (cs_configuration_t *configuration, cs_str_t name,
                           cs_offering_t *out)
{
  const cs_offering_t *found = NULL;
  rcu_read_lock ();
  const cs_release_t *release = rcu_dereference (configuration->release);
  if (release != NULL)
    found = cs_release_find_offering (release, name);
  if (found != NULL)
    *out = *found;
  rcu_read_unlock ();
  return found != NULL;
}

bool
cs_configuration_organisation (cs_configuration_t *configuration,
                               cs_str_t api_key, cs_organisation_t *out)
{
  const cs_organisation_t *found = NULL;
  rcu_read_lock ();
  const cs_release_t *release = rcu_dereference (configuration->release);
  if (release != NULL)
    found = cs_release_find_organisation_by_key (release, api_key);
  if (found != NULL)
    *out = *found;
  rcu_read_unlock ();
  return found != NULL;
}

void
cs_configuration_region (cs_configuration_t *configuration,
                         cs_str_t data_centre, cs_name_t *out)
{
  cs_name_set (out, data_centre);
  rcu_read_lock ();
  const cs_release_t *release = rcu_dereference (configuration->release);
  if (release != NULL)
    cs_release_region_of (release, data_centre, out);
  rcu_read_unlock ();
}

size_t
cs_configuration_offerings (cs_configuration_t *configuration,
                            cs_offering_t **out)
{
  size_t count = 0;
  *out = NULL;
  rcu_read_lock ();
  const cs_release_t *release = rcu_dereference (configuration->release);
  if (release != NULL)
    {
      const cs_offering_t *offerings = cs_release_offerings (release, &count);
      *out = calloc (count + 1, sizeof **out);
      if (*out == NULL)
        count = 0;
      else if (count > 0)
        memcpy (*out, offerings, count * sizeof **out);
    }
  rcu_read_unlock ();
  return count;
}

json_t *
cs_configuration_document (cs_configuration_t *configuration,
                           uint64_t *revision)
{
  json_t *copy = NULL;
  rcu_read_lock ();
  const cs_release_t *release = rcu_dereference (configuration->release);
  if (release != NULL)
    {
      copy = json_deep_copy (cs_release_document (release));
      *revision = cs_release_revision (release);
    }
  rcu_read_unlock ();
  return copy;
}

json_t *
cs_configuration_note (cs_configuration_t *configuration, uint64_t revision)
{
  json_t *note = NULL;
  const stored_note_t *stored = &configuration->notes[revision % MAX_NOTES];
  pthread_mutex_lock (&configuration->notes_lock);
  if (stored->note != NULL && stored->revision == revision)
    note = json_deep_copy (stored->note);
  pthread_mutex_unlock (&configuration->notes_lock);
  return note;
}
