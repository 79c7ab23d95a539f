#include "common/settings_table.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include "common/error.h"

/* Most entries of a table; the tables are constants of the programs.  */
#define SETTINGS_MAX 64

typedef struct
{
  const char *file;
  const char *text; /* rest of the text, read line by line */
  unsigned line;
  const cs_settings_table_t *table;
  void *out;
  bool seen[SETTINGS_MAX];
  cs_buf_t *reason;
  int rc;
} reader_t;

static int
fault (reader_t *reader, const char *section, const char *key,
       const char *what)
{
  if (reader->rc == 0)
    cs_buf_printf (reader->reason, "%s:%u: [%s] %s: %s", reader->file,
                   reader->line, section, key, what);
  reader->rc = CS_ERR_BAD_SETTING;
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
  for (char *one = strtok_r (copy, " ", &rest); one != NULL;
       one = strtok_r (NULL, " ", &rest))
    if (!is_address (one))
      return false;
  return true;
}

static const char *
set_text (const cs_setting_t *setting, const char *value, char *out)
{
  size_t len = strlen (value);
  size_t most = setting->kind == CS_SETTING_NAME ? CS_NAME_MAX
                                                 : CS_SETTING_TEXT_MAX - 1;
  if (len > most)
    return "is too long";
  if (setting->kind == CS_SETTING_NAME
      && (len == 0 || strpbrk (value, " /\"")))
    return "is not a name";
  if (setting->kind == CS_SETTING_ADDRESS && !is_address (value))
    return "is not an IPv4 number and port";
  if (setting->kind == CS_SETTING_ADDRESS_OR_NONE && len > 0
      && !is_address (value))
    return "is not an IPv4 number and port";
  if (setting->kind == CS_SETTING_ADDRESSES && !are_addresses (value))
    return "is not a list of IPv4 numbers and ports";
  memcpy (out, value, len + 1);
  return NULL;
}

static const char *
set_number (const cs_setting_t *setting, const char *value, uint32_t *out)
{
  uint64_t number;
  if (cs_str_to_u64 (cs_str (value), &number) != 0)
    return "is not a whole number";
  if (number < setting->least || number > setting->most)
    return "is out of its range";
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
  if (!(number >= setting->least && number <= setting->most))
    return "is out of its range";
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

static int
handle_setting (void *context, const char *section, const char *key,
                const char *value)
{
  reader_t *reader = context;
  for (size_t i = 0; i < reader->table->count; i++)
    {
      const cs_setting_t *entry = &reader->table->settings[i];
      if (strcmp (entry->section, section) != 0
          || strcmp (entry->key, key) != 0)
        continue;
      if (reader->seen[i])
        return fault (reader, section, key, "stands twice");
      reader->seen[i] = true;
      const char *wrong = set_value (reader->out, entry, value);
      return wrong == NULL ? 1 : fault (reader, section, key, wrong);
    }
  return fault (reader, section, key, "is not a known setting");
}

/* Gives inih one line a call, and counts them for messages.  */
static char *
read_line (char *out, int size, void *stream)
{
  reader_t *reader = stream;
  if (*reader->text == '\0' || reader->rc != 0)
    return NULL;
  size_t len = strcspn (reader->text, "\n");
  size_t copied = len < (size_t)size - 1 ? len : (size_t)size - 1;
  reader->line++;
  if (copied < len)
    fault (reader, "-", "-", "the line is too long");
  memcpy (out, reader->text, copied);
  out[copied] = '\0';
  reader->text += len + (reader->text[len] == '\n' ? 1 : 0);
  return out;
}

static void
apply_fallbacks (reader_t *reader)
{
  for (size_t i = 0; i < reader->table->count; i++)
    {
      const cs_setting_t *entry = &reader->table->settings[i];
      if (reader->seen[i])
        continue;
      if (entry->fallback == NULL)
        fault (reader, entry->section, entry->key, "is missing");
      else
        set_value (reader->out, entry, entry->fallback);
    }
}

int
cs_settings_table_parse (const cs_settings_table_t *table, const char *file,
                         const char *text, void *out, size_t size,
                         cs_buf_t *reason)
{
  reader_t reader = {
    .file = file, .text = text, .table = table, .out = out, .reason = reason
  };
  assert (table->count <= SETTINGS_MAX);
  memset (out, 0, size);
  int line = ini_parse_stream (read_line, &reader, handle_setting, &reader);
  if (line > 0)
    {
      reader.line = (unsigned)line;
      fault (&reader, "-", "-", "is not a section or a setting");
    }
  else if (line < 0)
    fault (&reader, "-", "-", "cannot be read");
  if (reader.rc == 0)
    apply_fallbacks (&reader);
  return reader.rc;
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
