#include "daemon/target_call.h"

#include <string.h>

#include <jansson.h>

/* A report with larger counts is rejected as malformed.  */
#define MAX_CALLS 1000000

static bool
read_count (const json_t *object, const char *key, uint32_t *out)
{
  const json_t *value = json_object_get (object, key);
  if (!json_is_number (value))
    return false;
  double number = json_number_value (value);
  if (number < 0 || number > MAX_CALLS)
    return false;
  *out = (uint32_t)number;
  return true;
}

bool
cs_target_load_parse (cs_str_t text, cs_time_us_t taken, cs_target_load_t *out)
{
  memset (out, 0, sizeof *out);
  json_t *root = json_loadb (text.data, text.len, 0, NULL);
  const json_t *metrics = json_object_get (root, "named_metrics");
  const json_t *object = metrics != NULL ? metrics : root;
  const json_t *version = json_object_get (object, "version");
  bool good = read_count (object, "running", &out->running);
  if (good)
    {
      read_count (object, "waiting", &out->waiting);
      if (json_is_string (version))
        cs_name_set (&out->version, cs_str (json_string_value (version)));
      out->taken = taken;
    }
  json_decref (root);
  return good;
}
