#include "daemon/settings.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <ini.h>

#include "common/error.h"

typedef enum
{
  KIND_NAME,
  KIND_TEXT,
  KIND_ADDRESS, /* IP number and port; port 0 lets the kernel choose */
  KIND_ADDRESS_OR_NONE,
  KIND_ADDRESSES,
  KIND_NUMBER
} kind_t;

typedef struct
{
  const char *section;
  const char *key;
  kind_t kind;
  size_t offset;
  uint32_t least;
  uint32_t most;
  const char *fallback; /* NULL: the key is required */
} setting_t;

#define AT(field) offsetof (cs_settings_t, field)

static const setting_t table[] = {
  { "caller", "body_limit_kib", KIND_NUMBER, AT (body_limit_kib), 1, 65536,
    "4096" },
  { "caller", "deadline_ms", KIND_NUMBER, AT (deadline_ms), 100, 3600000,
    "300000" },
  { "caller", "listen", KIND_ADDRESS, AT (caller_listen), 0, 0, NULL },
  { "caller", "queue_wait_ms", KIND_NUMBER, AT (queue_wait_ms), 1, 600000,
    "10000" },
  { "caller", "tls_certificate", KIND_TEXT, AT (tls_certificate), 0, 0, "" },
  { "caller", "workers", KIND_NUMBER, AT (workers), 2, 4096, "600" },
  { "host", "data_centre", KIND_NAME, AT (data_centre), 0, 0, NULL },
  { "host", "name", KIND_NAME, AT (name), 0, 0, NULL },
  { "operator", "key", KIND_TEXT, AT (operator_key), 0, 0, "" },
  { "operator", "listen", KIND_ADDRESS, AT (operator_listen), 0, 0, NULL },
  { "peer", "fleet_key", KIND_TEXT, AT (fleet_key), 0, 0, NULL },
  { "peer", "heartbeat_ms", KIND_NUMBER, AT (heartbeat_ms), 20, 400, "250" },
  { "peer", "listen", KIND_ADDRESS, AT (peer_listen), 0, 0, NULL },
  { "peer", "seeds", KIND_ADDRESSES, AT (peer_seeds), 0, 0, "" },
  { "placement", "long_percent", KIND_NUMBER, AT (long_percent), 1, 10000,
    "70" },
  { "placement", "queue_length", KIND_NUMBER, AT (queue_length), 1, 100000,
    "4096" },
  { "placement", "ramp_s", KIND_NUMBER, AT (ramp_s), 0, 3600, "20" },
  { "placement", "settle_ms", KIND_NUMBER, AT (settle_ms), 0, 1000, "5" },
  { "placement", "short_percent", KIND_NUMBER, AT (short_percent), 1, 1000,
    "90" },
  { "placement", "spill_ranks", KIND_NUMBER, AT (spill_ranks), 0, 15, "4" },
  { "platform", "address", KIND_ADDRESS_OR_NONE, AT (platform_address), 0, 0,
    "" },
  { "platform", "claim_ttl_s", KIND_NUMBER, AT (claim_ttl_s), 1, 2592000,
    "86400" },
  { "platform", "follow_ms", KIND_NUMBER, AT (follow_ms), 50, 60000, "1000" },
  { "platform", "namespace", KIND_NAME, AT (platform_namespace), 0, 0,
    "default" },
  { "platform", "timeout_ms", KIND_NUMBER, AT (platform_timeout_ms), 10, 60000,
    "2000" },
  { "platform", "token", KIND_TEXT, AT (platform_token), 0, 0, "" },
  { "stop", "lame_duck_ms", KIND_NUMBER, AT (lame_duck_ms), 0, 600000,
    "3000" },
  { "target", "connect_timeout_ms", KIND_NUMBER, AT (connect_timeout_ms), 1,
    60000, "500" },
  { "target", "connection_age_s", KIND_NUMBER, AT (connection_age_s), 1, 86400,
    "300" },
  { "target", "first_byte_timeout_ms", KIND_NUMBER, AT (first_byte_timeout_ms),
    1, 3600000, "30000" },
  { "target", "load_pause_ms", KIND_NUMBER, AT (load_pause_ms), 0, 3600000,
    "1000" },
  { "target", "order_ms", KIND_NUMBER, AT (order_ms), 1, 600000, "1000" },
  { "target", "poll_ms", KIND_NUMBER, AT (poll_ms), 10, 60000, "1000" },
  { "target", "token_timeout_ms", KIND_NUMBER, AT (token_timeout_ms), 1,
    3600000, "10000" },
  { "target", "tries", KIND_NUMBER, AT (tries), 1, 10, "3" },
};

#define SETTING_COUNT (sizeof table / sizeof table[0])

typedef struct
{
  const char *file;
  const char *text; /* rest of the text, read line by line */
  unsigned line;
  cs_settings_t *settings;
  bool seen[SETTING_COUNT];
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
set_text (const setting_t *setting, const char *value, char *out)
{
  size_t len = strlen (value);
  size_t most
      = setting->kind == KIND_NAME ? CS_NAME_MAX : CS_SETTING_TEXT_MAX - 1;
  if (len > most)
    return "is too long";
  if (setting->kind == KIND_NAME && (len == 0 || strpbrk (value, " /\"")))
    return "is not a name";
  if (setting->kind == KIND_ADDRESS && !is_address (value))
    return "is not an IPv4 number and port";
  if (setting->kind == KIND_ADDRESS_OR_NONE && len > 0 && !is_address (value))
    return "is not an IPv4 number and port";
  if (setting->kind == KIND_ADDRESSES && !are_addresses (value))
    return "is not a list of IPv4 numbers and ports";
  memcpy (out, value, len + 1);
  return NULL;
}

static const char *
set_number (const setting_t *setting, const char *value, uint32_t *out)
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
set_value (cs_settings_t *settings, const setting_t *setting,
           const char *value)
{
  void *field = (char *)settings + setting->offset;
  if (setting->kind == KIND_NUMBER)
    return set_number (setting, value, field);
  return set_text (setting, value, field);
}

static int
handle_setting (void *context, const char *section, const char *key,
                const char *value)
{
  reader_t *reader = context;
  for (size_t i = 0; i < SETTING_COUNT; i++)
    {
      if (strcmp (table[i].section, section) != 0
          || strcmp (table[i].key, key) != 0)
        continue;
      if (reader->seen[i])
        return fault (reader, section, key, "stands twice");
      reader->seen[i] = true;
      const char *wrong = set_value (reader->settings, &table[i], value);
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
  for (size_t i = 0; i < SETTING_COUNT; i++)
    {
      if (reader->seen[i])
        continue;
      if (table[i].fallback == NULL)
        fault (reader, table[i].section, table[i].key, "is missing");
      else
        set_value (reader->settings, &table[i], table[i].fallback);
    }
}

int
cs_settings_parse (const char *file, const char *text, cs_settings_t *settings,
                   cs_buf_t *reason)
{
  reader_t reader
      = { .file = file, .text = text, .settings = settings, .reason = reason };
  memset (settings, 0, sizeof *settings);
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
cs_settings_read (const char *file, cs_settings_t *settings, cs_buf_t *reason)
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
  rc = cs_settings_parse (file, text.data == NULL ? "" : text.data, settings,
                          reason);
out:
  fclose (stream);
  cs_buf_free (&text);
  return rc;
}
