#include "trail.h"

#include <stdio.h>
#include <time.h>

static const char *const parts[] = { "added", "changed", "withdrawn" };

#define PART_COUNT (sizeof parts / sizeof parts[0])

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
cs_trail_print (const cs_release_record_t *record)
{
  char stamp[32];
  struct tm utc;
  time_t seconds = (time_t)(record->wall_ms / 1000);
  gmtime_r (&seconds, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%SZ", &utc);
  printf ("%llu %s operator=%s operation=%s",
          (unsigned long long)record->revision, stamp,
          record->operator_name.text, record->operation.text);
  for (size_t i = 0; i < PART_COUNT; i++)
    printf (" %s=%zu", parts[i],
            count_entries (json_object_get (record->note, parts[i])));
  printf ("\n");
}

static void
print_part (const char *part, const json_t *sections)
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
    printf ("  %s %s %s\n", part, section, name == NULL ? "?" : name);
  }
}

void
cs_trail_print_entries (const cs_release_record_t *record)
{
  for (size_t i = 0; i < PART_COUNT; i++)
    print_part (parts[i], json_object_get (record->note, parts[i]));
}
