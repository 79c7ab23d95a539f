#include "common/settings_table.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include "common/error.h"

/* Upper bound of the entries of a table; the tables are constants of the
   programs, so an assertion checks it.  */
#define MAX_SETTINGS 64

typedef struct
{
  const char *file;
  const char *text; /* unread rest of the text */
  unsigned line;
  const cs_settings_table_t *table;
  void *out;
  bool seen[MAX_SETTINGS];
  cs_buf_t *reason;
  int rc;
} parse_state_t;

/* Records an error; only the first one is reported.  Returns 0, the error
   value of inih's handlers.  */
static int
report_error (parse_state_t *state, const char *section, const char *key,
              const char *what)
{
  if (state->rc == 0)
    cs_buf_printf (state->reason, "%s:%u: [%s] %s: %s", state->file,
                   state->line, section, key, what);
  state->rc = CS_ERR_BAD_SETTING;
  return 0;
}

static bool
is_address (const char *text)
{
  char host[CS_SETTING_TEXT_MAX];
  unsigned char number[16];
  uint64_t port;
  const char *colon = strrchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  if (cs_str_to_u64 (cs_str (colon + 1), &port) != 0 || port > 65535)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  return inet_pton (AF_INET, host, number) == 1;
}

static bool
are_addresses (const char *text)
{
  char copy[CS_SETTING_TEXT_MAX];
  char *rest = NULL;
  snprintf (copy, sizeof copy, "%s", text);
  for (char *address = strtok_r (copy, " ", &rest); address != NULL;
       address = strtok_r (NULL, " ", &rest))
    if (!is_address (address))
      return false;
  return true;
}

static const char *
set_text (const cs_setting_t *setting, const char *value, char *out)
{
  size_t len = strlen (value);
  size_t max_len = setting->kind == CS_SETTING_NAME ? CS_NAME_MAX
                                                    : CS_SETTING_TEXT_MAX - 1;
  if (len > max_len)
    return "is too long";
  if (setting->kind == CS_SETTING_NAME
      && (len == 0 || strpbrk (value, " /\"")))
    return "is not a valid name";
  if (setting->kind == CS_SETTING_ADDRESS && !is_address (value))
    return "is not an IPv4 address and port";
  if (setting->kind == CS_SETTING_ADDRESS_OR_NONE && len > 0
      && !is_address (value))
    return "is not an IPv4 address and port";
  if (setting->kind == CS_SETTING_ADDRESSES && !are_addresses (value))
    return "is not a list of IPv4 addresses and ports";
  memcpy (out, value, len + 1);
  return NULL;
}

static const char *
set_number (const cs_setting_t *setting, const char *value, uint32_t *out)
{
  uint64_t number;
  if (cs_str_to_u64 (cs_str (value), &number) != 0)
    return "is not a whole number";
  if (number < setting->min || number > setting->max)
    return "is out of range";
  *out = (uint32_t)number;
  return NULL;
}

static const char *
set_fraction (const cs_setting_t *setting, const char *value, double *out)
{
  char *end = NULL;
  double number = strtod (value, &end);
  if (end == value || *end != '\0')
    return "is not a number";
  if (!(number >= setting->min && number <= setting->max))
    return "is out of range";
  *out = number;
  return NULL;
}

static const char *
set_value (void *settings, const cs_setting_t *setting, const char *value)
{
  void *field = (char *)settings + setting->offset;
  if (setting->kind == CS_SETTING_NUMBER)
    return set_number (setting, value, field);
  if (setting->kind == CS_SETTING_FRACTION)
    return set_fraction (setting, value, field);
  return set_text (setting, value, field);
}

/* Adds a setting of the section with any keys.  Returns NULL or what is wrong
   with it.  */
static const char *
add_pair (cs_setting_pairs_t *pairs, const char *key, const char *value)
{
  if (*value == '\0')
    return NULL;
  for (size_t i = 0; i < pairs->count; i++)
    if (strcmp (pairs->pairs[i].key.text, key) == 0)
      return "is set twice";
  if (!cs_name_is_valid (key) || !cs_name_is_valid (value))
    return "is empty or too long";
  if (pairs->count == CS_SETTING_MAX_PAIRS)
    return "is one setting too many";
  cs_name_set (&pairs->pairs[pairs->count].key, cs_str (key));
  cs_name_set (&pairs->pairs[pairs->count].value, cs_str (value));
  pairs->count++;
  return NULL;
}

static int
handle_setting (void *context, const char *section, const char *key,
                const char *value)
{
  parse_state_t *state = context;
  const cs_settings_table_t *table = state->table;
  if (table->pairs_section != NULL
      && strcmp (section, table->pairs_section) == 0)
    {
      void *pairs = (char *)state->out + table->pairs_offset;
      const char *error = add_pair (pairs, key, value);
      return error == NULL ? 1 : report_error (state, section, key, error);
    }
  for (size_t i = 0; i < state->table->count; i++)
    {
      const cs_setting_t *entry = &state->table->settings[i];
      if (strcmp (entry->section, section) != 0
          || strcmp (entry->key, key) != 0)
        continue;
      if (state->seen[i])
        return report_error (state, section, key, "is set twice");
      state->seen[i] = true;
      const char *error = set_value (state->out, entry, value);
      return error == NULL ? 1 : report_error (state, section, key, error);
    }
  if (table->skips_unknown)
    return 1;
  return report_error (state, section, key, "is not a known setting");
}

/* The line reader for inih: returns the next line, and counts lines for error
   messages.  */
static char *
read_line (char *out, int size, void *stream)
{
  parse_state_t *state = stream;
  if (*state->text == '\0' || state->rc != 0)
    return NULL;
  size_t len = strcspn (state->text, "\n");
  size_t copied = len < (size_t)size - 1 ? len : (size_t)size - 1;
  state->line++;
  if (copied < len)
    report_error (state, "-", "-", "the line is too long");
  memcpy (out, state->text, copied);
  out[copied] = '\0';
  state->text += len + (state->text[len] == '\n' ? 1 : 0);
  return out;
}

static void
apply_defaults (parse_state_t *state)
{
  for (size_t i = 0; i < state->table->count; i++)
    {
      const cs_setting_t *entry = &state->table->settings[i];
      if (state->seen[i])
        continue;
      if (entry->default_value == NULL)
        report_error (state, entry->section, entry->key, "is missing");
      else
        set_value (state->out, entry, entry->default_value);
    }
}

int
cs_settings_table_parse (const cs_settings_table_t *table, const char *file,
                         const char *text, void *out, size_t size,
                         cs_buf_t *reason)
{
  parse_state_t state = {
    .file = file, .text = text, .table = table, .out = out, .reason = reason
  };
  assert (table->count <= MAX_SETTINGS);
  memset (out, 0, size);
  int line = ini_parse_stream (read_line, &state, handle_setting, &state);
  if (line > 0)
    {
      state.line = (unsigned)line;
      report_error (&state, "-", "-", "is neither a section nor a setting");
    }
  else if (line < 0)
    report_error (&state, "-", "-", "cannot be read");
  if (state.rc == 0)
    apply_defaults (&state);
  return state.rc;
}

int
cs_settings_table_read (const cs_settings_table_t *table, const char *file,
                        void *out, size_t size, cs_buf_t *reason)
{
  cs_buf_t text = { 0 };
  char part[4096];
  size_t len;
  int rc = CS_ERR_BAD_SETTING;
  FILE *stream = fopen (file, "r");
  if (stream == NULL)
    {
      cs_buf_printf (reason, "%s:0: cannot be opened", file);
      return rc;
    }
  while ((len = fread (part, 1, sizeof part, stream)) > 0)
    {
      cs_str_t read = { part, len };
      if (cs_buf_append (&text, read) != 0)
        goto out;
    }
  rc = cs_settings_table_parse (
      table, file, text.data == NULL ? "" : text.data, out, size, reason);
out:
  fclose (stream);
  cs_buf_free (&text);
  return rc;
}
