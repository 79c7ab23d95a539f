#include "trail.h"

#include <stdio.h>
#include <time.h>

static const char *const change_kinds[] = { "added", "changed", "withdrawn" };

#define CHANGE_KIND_COUNT (sizeof change_kinds / sizeof change_kinds[0])

static size_t
count_entries (const json_t *sections)
{
  const char *section;
  json_t *entries;
  size_t count = 0;
  json_object_foreach ((json_t *)sections, section, entries) count
      += json_array_size (entries);
  return count;
}

void
cs_trail_print_summary (const cs_release_record_t *record)
{
  char stamp[32];
  struct tm utc;
  time_t seconds = (time_t)(record->wall_ms / 1000);
  gmtime_r (&seconds, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%SZ", &utc);
  printf ("%llu %s operator=%s operation=%s",
          (unsigned long long)record->revision, stamp,
          record->operator_name.text, record->operation.text);
  for (size_t i = 0; i < CHANGE_KIND_COUNT; i++)
    printf (" %s=%zu", change_kinds[i],
            count_entries (json_object_get (record->note, change_kinds[i])));
  printf ("\n");
}

static void
print_changes (const char *kind, const json_t *sections)
{
  const char *section;
  json_t *entries;
  json_object_foreach ((json_t *)sections, section,
                       entries) for (size_t i = 0;
                                     i < json_array_size (entries); i++)
  {
    const json_t *entry = json_array_get (entries, i);
    const char *name
        = json_is_string (entry)
              ? json_string_value (entry)
              : json_string_value (json_object_get (entry, "name"));
    printf ("  %s %s %s\n", kind, section, name == NULL ? "?" : name);
  }
}

void
cs_trail_print_changes (const cs_release_record_t *record)
{
  for (size_t i = 0; i < CHANGE_KIND_COUNT; i++)
    print_changes (change_kinds[i],
                   json_object_get (record->note, change_kinds[i]));
}
