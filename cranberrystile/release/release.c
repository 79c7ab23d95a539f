#include "cranberrystile/release.h"

#include <stdlib.h>
#include <string.h>

#include "common/hash.h"
#include "common/sha256.h"
#include "release/read.h"

struct cs_release
{
  uint64_t revision;
  json_t *document;
  cs_data_centre_t *data_centres;
  size_t data_centre_count;
  cs_organisation_t *organisations;
  size_t organisation_count;
  cs_offering_t *offerings;
  size_t offering_count;
  cs_target_t *targets;
  size_t target_count;
  const cs_organisation_t **by_key; /* sorted by key_sha256 */
};

cs_release_t *
cs_release_create_empty (void)
{
  cs_release_t *release = calloc (1, sizeof *release);
  if (release == NULL)
    return NULL;
  release->document = json_pack ("{s:[], s:[], s:[], s:[]}", "data_centres",
                                 "organisations", "offerings", "targets");
  if (release->document == NULL)
    {
      free (release);
      return NULL;
    }
  return release;
}

void
cs_release_destroy (cs_release_t *release)
{
  if (release == NULL)
    return;
  json_decref (release->document);
  free (release->data_centres);
  free (release->organisations);
  free (release->offerings);
  free (release->targets);
  free (release->by_key);
  free (release);
}

static int
compare_keys (const void *a, const void *b)
{
  const cs_organisation_t *const *x = a;
  const cs_organisation_t *const *y = b;
  return strcmp ((*x)->key_sha256, (*y)->key_sha256);
}

static int
index_keys (cs_release_t *release, cs_buf_t *reason)
{
  size_t count = release->organisation_count;
  release->by_key = calloc (count + 1, sizeof *release->by_key);
  if (release->by_key == NULL)
    return CS_ERR_NO_MEMORY;
  for (size_t i = 0; i < count; i++)
    release->by_key[i] = &release->organisations[i];
  qsort (release->by_key, count, sizeof *release->by_key, compare_keys);
  for (size_t i = 1; i < count; i++)
    if (compare_keys (&release->by_key[i - 1], &release->by_key[i]) == 0)
      {
        cs_buf_printf (reason, "organisations %s and %s have the same key",
                       release->by_key[i - 1]->name.text,
                       release->by_key[i]->name.text);
        return CS_ERR_BAD_RELEASE;
      }
  return 0;
}

static int
check_targets (const cs_release_t *release, cs_buf_t *reason)
{
  for (size_t i = 0; i < release->target_count; i++)
    {
      const cs_target_t *target = &release->targets[i];
      if (cs_release_find_offering (release, cs_name_str (&target->offering))
          != NULL)
        continue;
      cs_buf_printf (reason, "target %s: offering %s does not exist",
                     target->name.text, target->offering.text);
      return CS_ERR_BAD_RELEASE;
    }
  return 0;
}

static void
add_missing_sections (json_t *document)
{
  static const char *const sections[]
      = { "data_centres", "organisations", "offerings", "targets" };
  for (size_t i = 0; i < 4 && json_is_object (document); i++)
    if (json_object_get (document, sections[i]) == NULL)
      json_object_set_new (document, sections[i], json_array ());
}

int
cs_release_create (uint64_t revision, const json_t *document,
                   cs_release_t **out, cs_buf_t *reason)
{
  json_t *copy = json_deep_copy (document);
  return copy == NULL ? CS_ERR_NO_MEMORY
                      : cs_release_create_owned (revision, copy, out, reason);
}

int
cs_release_create_owned (uint64_t revision, json_t *document,
                         cs_release_t **out, cs_buf_t *reason)
{
  int rc = CS_ERR_NO_MEMORY;
  cs_release_t *release = calloc (1, sizeof *release);
  if (release == NULL)
    {
      json_decref (document);
      return rc;
    }
  release->revision = revision;
  release->document = document;
  add_missing_sections (document);
  rc = cs_release_read_sections (document, reason);
  if (rc != 0)
    goto fail;
  rc = cs_release_read_data_centres (
      json_object_get (document, "data_centres"), &release->data_centres,
      &release->data_centre_count, reason);
  if (rc != 0)
    goto fail;
  rc = cs_release_read_organisations (
      json_object_get (document, "organisations"), &release->organisations,
      &release->organisation_count, reason);
  if (rc != 0)
    goto fail;
  rc = cs_release_read_offerings (json_object_get (document, "offerings"),
                                  &release->offerings,
                                  &release->offering_count, reason);
  if (rc != 0)
    goto fail;
  rc = cs_release_read_targets (json_object_get (document, "targets"),
                                &release->targets, &release->target_count,
                                reason);
  if (rc != 0)
    goto fail;
  rc = index_keys (release, reason);
  if (rc != 0)
    goto fail;
  rc = check_targets (release, reason);
  if (rc != 0)
    goto fail;
  *out = release;
  return 0;
fail:
  cs_release_destroy (release);
  return rc;
}

uint64_t
cs_release_revision (const cs_release_t *release)
{
  return release->revision;
}

const json_t *
cs_release_document (const cs_release_t *release)
{
  return release->document;
}

const cs_data_centre_t *
cs_release_data_centres (const cs_release_t *release, size_t *count)
{
  *count = release->data_centre_count;
  return release->data_centres;
}

void
cs_release_region_of (const cs_release_t *release, cs_str_t data_centre,
                      cs_name_t *out)
{
  cs_name_set (out, data_centre);
  for (size_t i = 0; i < release->data_centre_count; i++)
    if (cs_name_equal (&release->data_centres[i].name, out))
      {
        *out = release->data_centres[i].region;
        return;
      }
}

const cs_organisation_t *
cs_release_organisations (const cs_release_t *release, size_t *count)
{
  *count = release->organisation_count;
  return release->organisations;
}

const cs_offering_t *
cs_release_offerings (const cs_release_t *release, size_t *count)
{
  *count = release->offering_count;
  return release->offerings;
}

const cs_target_t *
cs_release_targets (const cs_release_t *release, size_t *count)
{
  *count = release->target_count;
  return release->targets;
}

static int
compare_offering (const void *key, const void *element)
{
  const cs_name_t *name = key;
  const cs_offering_t *offering = element;
  return strcmp (name->text, offering->name.text);
}

const cs_offering_t *
cs_release_find_offering (const cs_release_t *release, cs_str_t name)
{
  cs_name_t key;
  if (release->offering_count == 0 || !cs_name_set (&key, name))
    return NULL;
  return bsearch (&key, release->offerings, release->offering_count,
                  sizeof *release->offerings, compare_offering);
}

static int
compare_key_hash (const void *key, const void *element)
{
  const cs_organisation_t *const *organisation = element;
  return strcmp (key, (*organisation)->key_sha256);
}

const cs_organisation_t *
cs_release_find_organisation_by_key (const cs_release_t *release,
                                     cs_str_t api_key)
{
  char hash[65];
  if (release->organisation_count == 0)
    return NULL;
  cs_sha256_hex (api_key, hash);
  const cs_organisation_t **found
      = bsearch (hash, release->by_key, release->organisation_count,
                 sizeof *release->by_key, compare_key_hash);
  return found == NULL ? NULL : *found;
}
