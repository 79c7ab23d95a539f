/* Applies a release note to a snapshot document.  */

#include <string.h>

#include "cranberrystile/release.h"
#include "release/read.h"

static int
report_error (cs_buf_t *reason, const char *change, const char *section,
              const char *name, const char *problem)
{
  cs_buf_printf (reason, "%s %s %s: %s", change, section,
                 name == NULL ? "(unnamed)" : name, problem);
  return CS_ERR_BAD_RELEASE;
}

static const char *
entry_name (const json_t *entry)
{
  if (json_is_string (entry))
    return json_string_value (entry);
  return json_string_value (json_object_get (entry, "name"));
}

/* Returns the index of the entry NAME, or the size of ARRAY if there is none.
 */
static size_t
find_entry (const json_t *array, const char *name)
{
  size_t count = json_array_size (array);
  size_t i = 0;
  while (i < count)
    {
      const char *other = entry_name (json_array_get (array, i));
      if (other != NULL && strcmp (other, name) == 0)
        break;
      i++;
    }
  return i;
}

static int
apply_entry (json_t *array, const char *change, const char *section,
             json_t *entry, cs_buf_t *reason)
{
  const char *name = entry_name (entry);
  if (name == NULL)
    return report_error (reason, change, section, name, "has no name");
  size_t at = find_entry (array, name);
  bool exists = at < json_array_size (array);
  if (strcmp (change, "added") == 0)
    {
      if (exists)
        return report_error (reason, change, section, name, "already exists");
      return json_array_append (array, entry) == 0 ? 0 : CS_ERR_NO_MEMORY;
    }
  if (!exists)
    return report_error (reason, change, section, name, "does not exist");
  if (strcmp (change, "withdrawn") == 0)
    return json_array_remove (array, at) == 0 ? 0 : CS_ERR_NO_MEMORY;
  return json_array_set (array, at, entry) == 0 ? 0 : CS_ERR_NO_MEMORY;
}

static int
apply_change (json_t *document, const char *change, const json_t *sections,
              cs_buf_t *reason)
{
  const char *section;
  json_t *entries;
  if (!json_is_object (sections))
    return report_error (reason, change, "", "", "is not an object");
  json_object_foreach ((json_t *)sections, section, entries)
  {
    json_t *array = json_object_get (document, section);
    if (array == NULL || !json_is_array (entries))
      return report_error (reason, change, section, "",
                           "is not a known section, or not an array");
    for (size_t i = 0; i < json_array_size (entries); i++)
      {
        int rc = apply_entry (array, change, section,
                              json_array_get (entries, i), reason);
        if (rc != 0)
          return rc;
      }
  }
  return 0;
}

int
cs_release_apply (const cs_release_t *base, const json_t *note,
                  cs_release_t **out, cs_buf_t *reason)
{
  static const char *const changes[] = { "withdrawn", "changed", "added" };
  size_t known_count = 0;
  int rc = CS_ERR_NO_MEMORY;
  json_t *document = json_deep_copy (cs_release_document (base));
  if (document == NULL)
    goto out;
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      const json_t *sections = json_object_get (note, changes[i]);
      if (sections == NULL)
        continue;
      known_count++;
      rc = apply_change (document, changes[i], sections, reason);
      if (rc != 0)
        goto out;
    }
  if (known_count == 0 || known_count != json_object_size (note))
    {
      cs_buf_printf (
          reason, "a release note must contain at least one of added, changed "
                  "and withdrawn, and nothing else");
      rc = CS_ERR_BAD_RELEASE;
      goto out;
    }
  return cs_release_create_owned (cs_release_revision (base) + 1, document,
                                  out, reason);
out:
  json_decref (document);
  return rc;
}
