#include "router/settings.h"

#include <stddef.h>

#define AT(field) offsetof (cs_router_settings_t, field)

static const cs_setting_t settings[] = {
  { "host", "data_centre", CS_SETTING_NAME, AT (data_centre), 0, 0, NULL },
  { "host", "name", CS_SETTING_NAME, AT (name), 0, 0, NULL },
  { "listen", "callers", CS_SETTING_ADDRESS, AT (callers), 0, 0, NULL },
  { "listen", "metrics", CS_SETTING_ADDRESS_OR_NONE, AT (metrics), 0, 0, "" },
  { "listen", "peers", CS_SETTING_ADDRESS_OR_NONE, AT (peers), 0, 0, "" },
  { "listen", "readiness", CS_SETTING_ADDRESS, AT (readiness), 0, 0, NULL },
  { "log", "lines_per_s", CS_SETTING_NUMBER, AT (lines_per_s), 1, 100000,
    "300" },
  { "peer", "beat_ms", CS_SETTING_NUMBER, AT (beat_ms), 20, 10000, "300" },
  { "peer", "directory_s", CS_SETTING_NUMBER, AT (directory_s), 1, 3600,
    "10" },
  { "platform", "address", CS_SETTING_ADDRESS, AT (platform), 0, 0, NULL },
  { "platform", "apply_ms", CS_SETTING_NUMBER, AT (apply_ms), 100, 600000,
    "2000" },
  { "platform", "call_timeout_ms", CS_SETTING_NUMBER, AT (call_timeout_ms), 10,
    60000, "800" },
  { "platform", "coalesce_ms", CS_SETTING_NUMBER, AT (coalesce_ms), 0, 60000,
    "400" },
  { "platform", "lapse_ms", CS_SETTING_NUMBER, AT (lapse_ms), 0, 60000,
    "2200" },
  { "platform", "settle_ms", CS_SETTING_NUMBER, AT (settle_ms), 0, 60000,
    "2700" },
  { "platform", "watch_ms", CS_SETTING_NUMBER, AT (watch_ms), 100, 30000,
    "1500" },
  { "retry", "ratio", CS_SETTING_FRACTION, AT (retry_ratio), 0, 1, "0.1" },
  { "retry", "slack", CS_SETTING_FRACTION, AT (retry_slack), 0, 1000000, "0" },
  { "retry", "window_s", CS_SETTING_NUMBER, AT (retry_window_s), 1, 3600,
    "10" },
  { "stop", "grace_ms", CS_SETTING_NUMBER, AT (grace_ms), 0, 3600000, "8000" },
  { "stop", "lame_duck_ms", CS_SETTING_NUMBER, AT (lame_duck_ms), 0, 600000,
    "3000" },
  { "target", "connect_timeout_ms", CS_SETTING_NUMBER, AT (connect_timeout_ms),
    1, 60000, "150" },
  { "target", "fresh_ms", CS_SETTING_NUMBER, AT (fresh_ms), 0, 60000, "1000" },
  { "target", "idle_ms", CS_SETTING_NUMBER, AT (idle_ms), 0, 600000, "4000" },
  { "target", "unacknowledged_ms", CS_SETTING_NUMBER, AT (unacknowledged_ms),
    0, 600000, "2000" },
};

static const cs_settings_table_t table
    = { settings, sizeof settings / sizeof settings[0] };

int
cs_router_settings_parse (const char *file, const char *text,
                          cs_router_settings_t *out, cs_buf_t *reason)
{
  return cs_settings_table_parse (&table, file, text, out, sizeof *out,
                                  reason);
}

int
cs_router_settings_read (const char *file, cs_router_settings_t *out,
                         cs_buf_t *reason)
{
  return cs_settings_table_read (&table, file, out, sizeof *out, reason);
}
