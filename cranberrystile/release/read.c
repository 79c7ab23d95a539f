#include "release/read.h"

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#define MAX_PERCENT 10000
#define MAX_SLOTS 100000
#define MAX_RATE 1000000

static const char *const section_names[]
    = { "data_centres", "organisations", "offerings", "targets" };

#define SECTION_COUNT (sizeof section_names / sizeof section_names[0])

int
cs_release_read_sections (const json_t *document, cs_buf_t *reason)
{
  const char *key;
  json_t *value;
  if (!json_is_object (document))
    {
      cs_buf_printf (reason, "the document is not an object");
      return CS_ERR_BAD_RELEASE;
    }
  json_object_foreach ((json_t *)document, key, value)
  {
    size_t i = 0;
    while (i < SECTION_COUNT && strcmp (key, section_names[i]) != 0)
      i++;
    if (i < SECTION_COUNT && json_is_array (value))
      continue;
    cs_buf_printf (reason, "section %s is unknown or not an array", key);
    return CS_ERR_BAD_RELEASE;
  }
  return 0;
}

/* The entry being parsed, with its first error.  */
typedef struct
{
  const json_t *object;
  const char *section;
  const char *name;
  size_t known_count; /* fields that were read and present */
  cs_buf_t *reason;
  int rc;
} entry_t;

static void
entry_error (entry_t *entry, const char *field, const char *problem)
{
  if (entry->rc != 0)
    return;
  entry->rc = CS_ERR_BAD_RELEASE;
  cs_buf_printf (entry->reason, "%s %s: %s %s", entry->section,
                 entry->name == NULL ? "(unnamed)" : entry->name, field,
                 problem);
}

static const json_t *
get_field (entry_t *entry, const char *field)
{
  const json_t *value = json_object_get (entry->object, field);
  if (value != NULL)
    entry->known_count++;
  return value;
}

static void
read_name (entry_t *entry, const char *field, bool required, cs_name_t *out)
{
  const json_t *value = get_field (entry, field);
  if (value == NULL && !required)
    return;
  if (!json_is_string (value) || json_string_length (value) == 0
      || json_string_length (value) > CS_NAME_MAX)
    {
      entry_error (entry, field, "must be a string of 1 to 95 bytes");
      return;
    }
  cs_str_t text = { json_string_value (value), json_string_length (value) };
  for (size_t i = 0; i < text.len; i++)
    if ((unsigned char)text.data[i] <= ' ' || text.data[i] == '/'
        || text.data[i] == '"')
      entry_error (entry, field,
                   "contains a character that is not allowed in names");
  cs_name_set (out, text);
}

static void
read_number (entry_t *entry, const char *field, uint32_t min, uint32_t max,
             uint32_t *out)
{
  const json_t *value = get_field (entry, field);
  if (value == NULL)
    return;
  json_int_t number = json_integer_value (value);
  if (!json_is_integer (value) || number < min || number > max)
    {
      entry_error (entry, field, "is not an integer in the allowed range");
      return;
    }
  *out = (uint32_t)number;
}

static void
read_bool (entry_t *entry, const char *field, bool *out)
{
  const json_t *value = get_field (entry, field);
  if (value == NULL)
    return;
  if (!json_is_boolean (value))
    entry_error (entry, field, "must be true or false");
  *out = json_is_true (value);
}

static void
entry_begin (entry_t *entry, const json_t *object, const char *section,
             cs_buf_t *reason)
{
  memset (entry, 0, sizeof *entry);
  entry->object = object;
  entry->section = section;
  entry->reason = reason;
  if (!json_is_object (object))
    entry_error (entry, "entry", "is not an object");
  entry->name = json_string_value (json_object_get (object, "name"));
}

static int
entry_end (entry_t *entry)
{
  if (json_object_size (entry->object) != entry->known_count)
    entry_error (entry, "entry", "has an unknown field");
  return entry->rc;
}

static int
compare_names (const void *a, const void *b)
{
  const cs_name_t *x = a;
  const cs_name_t *y = b;
  return strcmp (x->text, y->text);
}

/* Sorts by name and rejects duplicates.  Every entry type has its name as the
   first member.  */
static int
sort_entries (void *entries, size_t count, size_t size, const char *section,
              cs_buf_t *reason)
{
  qsort (entries, count, size, compare_names);
  for (size_t i = 1; i < count; i++)
    {
      const cs_name_t *name
          = (const cs_name_t *)((const char *)entries + i * size);
      const cs_name_t *previous
          = (const cs_name_t *)((const char *)entries + (i - 1) * size);
      if (!cs_name_equal (previous, name))
        continue;
      cs_buf_printf (reason, "%s: duplicate entry %s", section, name->text);
      return CS_ERR_BAD_RELEASE;
    }
  return 0;
}

typedef int read_entry_fn (const json_t *object, void *out, cs_buf_t *reason);

static int
read_array (const json_t *array, size_t size, const char *section,
            read_entry_fn *read_entry, void **out, size_t *count,
            cs_buf_t *reason)
{
  size_t total = json_array_size (array);
  char *entries = calloc (total + 1, size);
  if (entries == NULL)
    return CS_ERR_NO_MEMORY;
  *out = entries;
  *count = total;
  for (size_t i = 0; i < total; i++)
    {
      int rc
          = read_entry (json_array_get (array, i), entries + i * size, reason);
      if (rc != 0)
        return rc;
    }
  return sort_entries (entries, total, size, section, reason);
}

static int
read_data_centre (const json_t *object, void *out, cs_buf_t *reason)
{
  cs_data_centre_t *data_centre = out;
  entry_t entry;
  entry_begin (&entry, object, "data centre", reason);
  read_name (&entry, "name", true, &data_centre->name);
  read_name (&entry, "region", true, &data_centre->region);
  return entry_end (&entry);
}

static bool
is_sha256_hex (const cs_name_t *text)
{
  if (text->len != 64)
    return false;
  return strspn (text->text, "0123456789abcdef") == 64;
}

static int
read_organisation (const json_t *object, void *out, cs_buf_t *reason)
{
  cs_organisation_t *organisation = out;
  cs_name_t hash = { 0 };
  entry_t entry;
  entry_begin (&entry, object, "organisation", reason);
  organisation->weight = 1;
  read_name (&entry, "name", true, &organisation->name);
  read_name (&entry, "key_sha256", true, &hash);
  if (!is_sha256_hex (&hash))
    entry_error (&entry, "key_sha256", "is not 64 lower-case hex digits");
  else
    memcpy (organisation->key_sha256, hash.text, 65);
  read_number (&entry, "weight", 1, 1000, &organisation->weight);
  read_number (&entry, "rate", 0, MAX_RATE, &organisation->rate);
  organisation->burst = organisation->rate;
  read_number (&entry, "burst", 0, MAX_RATE, &organisation->burst);
  return entry_end (&entry);
}

static int
read_offering (const json_t *object, void *out, cs_buf_t *reason)
{
  cs_offering_t *offering = out;
  cs_name_t kind = { 0 };
  entry_t entry;
  entry_begin (&entry, object, "offering", reason);
  read_name (&entry, "name", true, &offering->name);
  read_name (&entry, "kind", true, &kind);
  offering->is_service = strcmp (kind.text, "service") == 0;
  if (!offering->is_service && strcmp (kind.text, "model") != 0)
    entry_error (&entry, "kind", "must be model or service");
  offering->idempotent = !offering->is_service;
  offering->cap_percent = 125;
  offering->min_live_percent = 75;
  read_bool (&entry, "idempotent", &offering->idempotent);
  read_number (&entry, "cap_percent", 101, MAX_PERCENT,
               &offering->cap_percent);
  read_number (&entry, "min_live_percent", 0, 100,
               &offering->min_live_percent);
  return entry_end (&entry);
}

static bool
is_address (const cs_name_t *address)
{
  char host[CS_NAME_MAX + 1];
  unsigned char number[16];
  uint64_t port = 0;
  memcpy (host, address->text, sizeof host);
  char *colon = strrchr (host, ':');
  if (colon == NULL)
    return false;
  *colon = '\0';
  if (cs_str_to_u64 (cs_str (colon + 1), &port) != 0 || port == 0
      || port > 65535)
    return false;
  size_t len = strlen (host);
  if (len > 2 && host[0] == '[' && host[len - 1] == ']')
    {
      host[len - 1] = '\0';
      return inet_pton (AF_INET6, host + 1, number) == 1;
    }
  return inet_pton (AF_INET, host, number) == 1;
}

static int
read_target (const json_t *object, void *out, cs_buf_t *reason)
{
  cs_target_t *target = out;
  entry_t entry;
  entry_begin (&entry, object, "target", reason);
  target->slots = 16;
  target->checks_fencing = true;
  read_name (&entry, "name", true, &target->name);
  read_name (&entry, "offering", true, &target->offering);
  read_name (&entry, "data_centre", true, &target->data_centre);
  read_name (&entry, "address", true, &target->address);
  if (!is_address (&target->address))
    entry_error (&entry, "address", "is not an IP address and port");
  read_number (&entry, "slots", 1, MAX_SLOTS, &target->slots);
  read_bool (&entry, "checks_fencing", &target->checks_fencing);
  read_name (&entry, "version", false, &target->version);
  return entry_end (&entry);
}

int
cs_release_read_data_centres (const json_t *array, cs_data_centre_t **out,
                              size_t *count, cs_buf_t *reason)
{
  return read_array (array, sizeof **out, "data_centres", read_data_centre,
                     (void **)out, count, reason);
}

int
cs_release_read_organisations (const json_t *array, cs_organisation_t **out,
                               size_t *count, cs_buf_t *reason)
{
  return read_array (array, sizeof **out, "organisations", read_organisation,
                     (void **)out, count, reason);
}

int
cs_release_read_offerings (const json_t *array, cs_offering_t **out,
                           size_t *count, cs_buf_t *reason)
{
  return read_array (array, sizeof **out, "offerings", read_offering,
                     (void **)out, count, reason);
}

int
cs_release_read_targets (const json_t *array, cs_target_t **out, size_t *count,
                         cs_buf_t *reason)
{
  return read_array (array, sizeof **out, "targets", read_target, (void **)out,
                     count, reason);
}
