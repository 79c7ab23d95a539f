#include "router/settings.h"

#include <stddef.h>

#define AT(field) offsetof (cs_router_settings_t, field)

/* The rest of the time is for the call after the watch.  */
#define WATCH_NEWS_SHARE 0.75
#define WATCH_CONTACT_SHARE 0.5
/* The rest is for requests on their way.  */
#define SETTLE_SHARE 0.9

static const cs_setting_t settings[] = {
  { "host", "data_centre", CS_SETTING_NAME, AT (data_centre), 0, 0, NULL },
  { "host", "memory_mb", CS_SETTING_FRACTION, AT (memory_mb), 16, 1000000,
    "256" },
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
  { "peer", "renew_s", CS_SETTING_NUMBER, AT (renew_s), 1, 86400, "300" },
  { "platform", "address", CS_SETTING_ADDRESS, AT (platform), 0, 0, NULL },
  { "platform", "apply_ms", CS_SETTING_FRACTION, AT (apply_ms), 100, 600000,
    "2000" },
  { "platform", "call_timeout_ms", CS_SETTING_NUMBER, AT (call_timeout_ms), 10,
    60000, "800" },
  { "platform", "coalesce_ms", CS_SETTING_NUMBER, AT (coalesce_ms), 0, 60000,
    "400" },
  { "platform", "contact_ms", CS_SETTING_FRACTION, AT (contact_ms), 100,
    600000, "3000" },
  { "platform", "drain_ms", CS_SETTING_FRACTION, AT (drain_ms), 100, 600000,
    "2000" },
  { "platform", "lapse_ms", CS_SETTING_NUMBER, AT (lapse_ms), 0, 60000,
    "2200" },
  { "platform", "watch_ms", CS_SETTING_NUMBER, AT (watch_ms), 100, 30000,
    "1500" },
  { "retry", "ratio", CS_SETTING_FRACTION, AT (retry_ratio), 0, 1, "0.1" },
  { "retry", "slack", CS_SETTING_FRACTION, AT (retry_slack), 0, 1000000, "0" },
  { "retry", "window_s", CS_SETTING_FRACTION, AT (retry_window_s), 1, 3600,
    "10" },
  { "stop", "grace_s", CS_SETTING_FRACTION, AT (grace_s), 0, 3600, "8" },
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

cs_time_us_t
cs_router_settings_news_us (const cs_router_settings_t *settings)
{
  double ms = settings->apply_ms < settings->drain_ms ? settings->apply_ms
                                                      : settings->drain_ms;
  return (cs_time_us_t)(ms * CS_US_PER_MS);
}

uint32_t
cs_router_settings_watch_ms (const cs_router_settings_t *settings)
{
  double most_us = WATCH_NEWS_SHARE * cs_router_settings_news_us (settings);
  double most_ms = most_us / CS_US_PER_MS;
  if (most_ms > WATCH_CONTACT_SHARE * settings->contact_ms)
    most_ms = WATCH_CONTACT_SHARE * settings->contact_ms;
  return settings->watch_ms < most_ms ? settings->watch_ms : (uint32_t)most_ms;
}

cs_time_us_t
cs_router_settings_settle_us (const cs_router_settings_t *settings)
{
  double ms = settings->contact_ms * SETTLE_SHARE;
  return (cs_time_us_t)(ms * CS_US_PER_MS);
}

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
