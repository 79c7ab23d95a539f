#include "api/release_store.h"

#include <stdio.h>
#include <string.h>

#define SNAPSHOT_NAME "current"

/* Bounds the attempts at creating a release object, and the lookups after each
   attempt whose response was lost.  */
#define MAX_ATTEMPTS 5

void
cs_release_record_free (cs_release_record_t *record)
{
  json_decref (record->note);
  record->note = NULL;
}

int
cs_release_record_read (const json_t *object, cs_release_record_t *out)
{
  const char *operator_name, *operation;
  json_int_t revision, wall_ms;
  json_t *note;
  memset (out, 0, sizeof *out);
  int rc = json_unpack ((json_t *)cs_platform_spec (object),
                        "{s:I, s:s, s:s, s:I, s:o}", "revision", &revision,
                        "operator", &operator_name, "operation", &operation,
                        "time", &wall_ms, "note", &note);
  if (rc != 0 || revision <= 0 || wall_ms < 0)
    return CS_ERR_WRONG_ANSWER;
  out->revision = (uint64_t)revision;
  out->wall_ms = (uint64_t)wall_ms;
  cs_name_set (&out->operator_name, cs_str (operator_name));
  cs_name_set (&out->operation, cs_str (operation));
  snprintf (out->version, sizeof out->version, "%s",
            cs_platform_resource_version (object));
  out->note = json_incref (note);
  return 0;
}

static void
release_name (uint64_t revision, char *out, size_t size)
{
  snprintf (out, size, "release-%010llu", (unsigned long long)revision);
}

int
cs_release_store_get (cs_platform_t *platform, uint64_t revision,
                      cs_release_record_t *out)
{
  char name[32];
  json_t *object;
  memset (out, 0, sizeof *out);
  release_name (revision, name, sizeof name);
  int rc = cs_platform_get (platform, CS_KIND_RELEASE, name, &object);
  if (rc != 0)
    return rc;
  rc = cs_release_record_read (object, out);
  if (rc == 0 && out->revision != revision)
    {
      cs_release_record_free (out);
      rc = CS_ERR_WRONG_ANSWER;
    }
  json_decref (object);
  return rc;
}

/* Creates a release from a Snapshot object.  */
static int
read_snapshot (const json_t *object, cs_release_t **out, cs_buf_t *reason)
{
  json_int_t revision;
  json_t *document;
  if (json_unpack ((json_t *)cs_platform_spec (object), "{s:I, s:o}",
                   "revision", &revision, "document", &document)
          != 0
      || revision < 0)
    return CS_ERR_WRONG_ANSWER;
  return cs_release_create ((uint64_t)revision, document, out, reason);
}

static int
load_base (cs_platform_t *platform, cs_release_t **out, cs_buf_t *reason)
{
  json_t *object;
  int rc
      = cs_platform_get (platform, CS_KIND_SNAPSHOT, SNAPSHOT_NAME, &object);
  if (rc == CS_ERR_NOT_FOUND)
    {
      *out = cs_release_create_empty ();
      return *out == NULL ? CS_ERR_NO_MEMORY : 0;
    }
  if (rc != 0)
    return rc;
  rc = read_snapshot (object, out, reason);
  json_decref (object);
  return rc;
}

/* Applies the release after BASE, if there is one.  */
static int
load_next (cs_platform_t *platform, const cs_release_t *base,
           cs_release_t **out, cs_buf_t *reason)
{
  cs_release_record_t record;
  int rc = cs_release_store_get (platform, cs_release_revision (base) + 1,
                                 &record);
  if (rc != 0)
    return rc;
  rc = cs_release_apply (base, record.note, out, reason);
  cs_release_record_free (&record);
  return rc;
}

int
cs_release_store_load (cs_platform_t *platform, const cs_release_t *base,
                       cs_release_t **out, cs_buf_t *reason)
{
  cs_release_t *newest = NULL;
  cs_release_t *next = NULL;
  int rc;
  *out = NULL;
  if (base == NULL)
    {
      rc = load_base (platform, &newest, reason);
      if (rc != 0)
        return rc;
    }
  while ((rc = load_next (platform, newest != NULL ? newest : base, &next,
                          reason))
         == 0)
    {
      cs_release_destroy (newest);
      newest = next;
    }
  if (rc != CS_ERR_NOT_FOUND)
    {
      cs_release_destroy (newest);
      return rc;
    }
  *out = newest;
  return 0;
}

/* Finds out whether a create whose response was lost took effect.  Returns 0
   if it did, CS_ERR_CONFLICT if another operation created the object, or the
   error of the last lookup.  */
static int
resolve_create (cs_platform_t *platform, const cs_release_record_t *record)
{
  int rc = CS_ERR_PLATFORM_DOWN;
  for (int i = 0; i < MAX_ATTEMPTS && rc == CS_ERR_PLATFORM_DOWN; i++)
    {
      cs_release_record_t found;
      rc = cs_release_store_get (platform, record->revision, &found);
      if (rc != 0)
        continue;
      if (!cs_name_equal (&found.operation, &record->operation))
        rc = CS_ERR_CONFLICT;
      cs_release_record_free (&found);
    }
  return rc;
}

static int
create_release_object (cs_platform_t *platform,
                       const cs_release_record_t *record)
{
  char name[32];
  json_t *spec = json_pack ("{s:I, s:s, s:s, s:I, s:O}", "revision",
                            (json_int_t)record->revision, "operator",
                            record->operator_name.text, "operation",
                            record->operation.text, "time",
                            (json_int_t)record->wall_ms, "note", record->note);
  if (spec == NULL)
    return CS_ERR_NO_MEMORY;
  release_name (record->revision, name, sizeof name);
  int rc = CS_ERR_NOT_FOUND;
  /* "Not found" after a lost response means that the write did not take
     effect.  Retrying is safe, since only one create can succeed.  */
  for (int i = 0; i < MAX_ATTEMPTS && rc == CS_ERR_NOT_FOUND; i++)
    {
      rc = cs_platform_create_object (platform, CS_KIND_RELEASE, name, spec,
                                      NULL);
      /* The conflict may be with an earlier attempt of this same create whose
         response was lost.  */
      if (rc == CS_ERR_PLATFORM_DOWN || rc == CS_ERR_CONFLICT)
        rc = resolve_create (platform, record);
    }
  json_decref (spec);
  return rc == CS_ERR_NOT_FOUND ? CS_ERR_PLATFORM_DOWN : rc;
}

int
cs_release_store_accept (cs_platform_t *platform, const cs_release_t *base,
                         const cs_release_record_t *record, cs_release_t **out,
                         cs_buf_t *reason)
{
  int rc = cs_release_apply (base, record->note, out, reason);
  if (rc != 0)
    return rc;
  rc = create_release_object (platform, record);
  if (rc != 0)
    {
      cs_release_destroy (*out);
      *out = NULL;
    }
  return rc;
}

int
cs_release_store_snapshot (cs_platform_t *platform,
                           const cs_release_t *release)
{
  json_t *object = NULL;
  json_int_t revision = 0;
  int rc
      = cs_platform_get (platform, CS_KIND_SNAPSHOT, SNAPSHOT_NAME, &object);
  if (rc != 0 && rc != CS_ERR_NOT_FOUND)
    return rc;
  bool exists = rc == 0;
  json_unpack ((json_t *)cs_platform_spec (object), "{s:I}", "revision",
               &revision);
  rc = 0;
  if (cs_release_revision (release)
      < (uint64_t)revision + CS_SNAPSHOT_INTERVAL)
    goto out;
  json_t *spec = json_pack (
      "{s:I, s:O}", "revision", (json_int_t)cs_release_revision (release),
      "document", (json_t *)cs_release_document (release));
  if (spec == NULL)
    rc = CS_ERR_NO_MEMORY;
  else if (exists)
    rc = cs_platform_replace (platform, CS_KIND_SNAPSHOT, SNAPSHOT_NAME,
                              cs_platform_resource_version (object), spec,
                              NULL);
  else
    rc = cs_platform_create_object (platform, CS_KIND_SNAPSHOT, SNAPSHOT_NAME,
                                    spec, NULL);
  json_decref (spec);
out:
  json_decref (object);
  return rc;
}
