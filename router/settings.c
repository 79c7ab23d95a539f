#include "router/settings.h"

#include <stddef.h>

#include "platform/contracts.h"

#define OFFSET(field) offsetof (cs_router_settings_t, field)

/* Fractions of the time bounds that one watch may take.  The rest is for the
   call after it.  */
#define WATCH_UPDATE_SHARE 0.75
#define WATCH_CONTACT_SHARE 0.5
/* Fraction of evacuation_ms that one watch of evacuations may take, and what
   is left of evacuation_ms, besides call_timeout_ms, when a watch ends at the
   latest: the watch may have been lost on a dead connection, which shows half
   a second after its wait.  */
#define WATCH_EVACUATION_SHARE 0.5
#define EVACUATION_LOST_CALL_MS 500
/* Bounds of the wait of a watch of evacuations.  */
#define MIN_EVACUATION_WATCH_MS 100
#define MAX_EVACUATION_WATCH_MS 30000
/* Fraction of contact_ms after which missing targets expire.  The rest is for
   the requests that were already sent to them.  */
#define MISSING_EXPIRY_SHARE 0.9

/* The platform removes an entry after this many renewals were missed.  */
#define RENEWALS_UNTIL_EXPIRY 3

/* Capacity of a host with one core and 1 Mbit/s.  */
#define CAPACITY_UNITS 100

static const cs_setting_t settings[] = {
  { "host", "cpu_share", CS_SETTING_FRACTION, OFFSET (cpu_share), 0.001, 1024,
    "1" },
  { "host", "data_centre", CS_SETTING_NAME, OFFSET (data_centre), 0, 0, NULL },
  { "host", "link_mbps", CS_SETTING_FRACTION, OFFSET (link_mbps), 0.1, 1000000,
    "1000" },
  { "host", "memory_mb", CS_SETTING_FRACTION, OFFSET (memory_mb), 16, 1000000,
    "256" },
  { "host", "name", CS_SETTING_NAME, OFFSET (name), 0, 0, NULL },
  { "host", "start_hold_ms", CS_SETTING_NUMBER, OFFSET (start_hold_ms), 0,
    60000, "0" },
  { "listen", "callers", CS_SETTING_ADDRESS, OFFSET (callers), 0, 0, NULL },
  { "listen", "metrics", CS_SETTING_ADDRESS_OR_NONE, OFFSET (metrics), 0, 0,
    "" },
  { "listen", "peers", CS_SETTING_ADDRESS_OR_NONE, OFFSET (peers), 0, 0, "" },
  { "listen", "readiness", CS_SETTING_ADDRESS, OFFSET (readiness), 0, 0,
    NULL },
  { "log", "lines_per_s", CS_SETTING_NUMBER, OFFSET (lines_per_s), 1, 100000,
    "300" },
  { "peer", "beat_ms", CS_SETTING_NUMBER, OFFSET (beat_ms), 20, 10000, "300" },
  { "peer", "directory_s", CS_SETTING_NUMBER, OFFSET (directory_s), 1, 3600,
    "10" },
  { "peer", "renew_s", CS_SETTING_NUMBER, OFFSET (renew_s), 1, 86400, "300" },
  { "platform", "address", CS_SETTING_ADDRESS, OFFSET (platform), 0, 0, NULL },
  { "platform", "apply_ms", CS_SETTING_FRACTION, OFFSET (apply_ms), 100,
    600000, "2000" },
  { "platform", "call_timeout_ms", CS_SETTING_NUMBER, OFFSET (call_timeout_ms),
    10, 60000, "800" },
  { "platform", "coalesce_ms", CS_SETTING_NUMBER, OFFSET (coalesce_ms), 0,
    60000, "400" },
  { "platform", "contact_ms", CS_SETTING_FRACTION, OFFSET (contact_ms), 100,
    600000, "3000" },
  { "platform", "contracts", CS_SETTING_TEXT, OFFSET (contracts), 0, 0, "" },
  { "platform", "drain_ms", CS_SETTING_FRACTION, OFFSET (drain_ms), 100,
    600000, "2000" },
  { "platform", "evacuation_ms", CS_SETTING_FRACTION, OFFSET (evacuation_ms),
    0, 600000, "0" },
  { "platform", "lapse_ms", CS_SETTING_NUMBER, OFFSET (lapse_ms), 0, 60000,
    "2200" },
  { "platform", "renewal_ms", CS_SETTING_NUMBER, OFFSET (renewal_ms), 1,
    600000, "1200" },
  { "platform", "watch_ms", CS_SETTING_NUMBER, OFFSET (watch_ms), 100, 30000,
    "1500" },
  { "retry", "ratio", CS_SETTING_FRACTION, OFFSET (retry_ratio), 0, 1, "0.1" },
  { "retry", "slack", CS_SETTING_FRACTION, OFFSET (retry_slack), 0, 1000000,
    "0" },
  { "retry", "window_s", CS_SETTING_FRACTION, OFFSET (retry_window_s), 1, 3600,
    "10" },
  { "stop", "grace_s", CS_SETTING_FRACTION, OFFSET (grace_s), 0, 3600, "8" },
  { "stop", "lame_duck_ms", CS_SETTING_NUMBER, OFFSET (lame_duck_ms), 0,
    600000, "2500" },
  { "target", "connect_timeout_ms", CS_SETTING_NUMBER,
    OFFSET (connect_timeout_ms), 1, 60000, "150" },
  { "target", "fresh_ms", CS_SETTING_NUMBER, OFFSET (fresh_ms), 0, 60000,
    "1000" },
  { "target", "idle_ms", CS_SETTING_NUMBER, OFFSET (idle_ms), 0, 600000,
    "4000" },
  { "target", "unacknowledged_ms", CS_SETTING_NUMBER,
    OFFSET (unacknowledged_ms), 0, 600000, "2000" },
};

static const cs_settings_table_t table
    = { .settings = settings,
        .count = sizeof settings / sizeof settings[0],
        .pairs_section = "regions",
        .pairs_offset = OFFSET (regions) };

cs_time_us_t
cs_router_settings_update_limit_us (const cs_router_settings_t *settings)
{
  double ms = settings->apply_ms < settings->drain_ms ? settings->apply_ms
                                                      : settings->drain_ms;
  return (cs_time_us_t)(ms * CS_US_PER_MS);
}

uint32_t
cs_router_settings_watch_ms (const cs_router_settings_t *settings)
{
  double max_us
      = WATCH_UPDATE_SHARE * cs_router_settings_update_limit_us (settings);
  double max_ms = max_us / CS_US_PER_MS;
  if (max_ms > WATCH_CONTACT_SHARE * settings->contact_ms)
    max_ms = WATCH_CONTACT_SHARE * settings->contact_ms;
  return settings->watch_ms < max_ms ? settings->watch_ms : (uint32_t)max_ms;
}

cs_time_us_t
cs_router_settings_evacuation_age_us (const cs_router_settings_t *settings)
{
  double age_ms = settings->evacuation_ms - settings->call_timeout_ms
                  - EVACUATION_LOST_CALL_MS;
  return age_ms > 0 ? (cs_time_us_t)(age_ms * CS_US_PER_MS) : 0;
}

uint32_t
cs_router_settings_evacuation_watch_ms (const cs_router_settings_t *settings,
                                        cs_time_us_t age)
{
  cs_time_us_t max_age = cs_router_settings_evacuation_age_us (settings);
  double wait_ms = WATCH_EVACUATION_SHARE * settings->evacuation_ms;
  double left_ms = age < max_age ? (double)(max_age - age) / CS_US_PER_MS : 0;
  if (wait_ms > left_ms)
    wait_ms = left_ms;
  if (wait_ms > MAX_EVACUATION_WATCH_MS)
    return MAX_EVACUATION_WATCH_MS;
  return wait_ms < MIN_EVACUATION_WATCH_MS ? MIN_EVACUATION_WATCH_MS
                                           : (uint32_t)wait_ms;
}

cs_time_us_t
cs_router_settings_missing_expiry_us (const cs_router_settings_t *settings)
{
  double ms = settings->contact_ms * MISSING_EXPIRY_SHARE;
  return (cs_time_us_t)(ms * CS_US_PER_MS);
}

cs_outage_policy_t
cs_router_settings_outage_policy (const cs_router_settings_t *settings)
{
  return (cs_outage_policy_t){
    .lapse_us = settings->lapse_ms * CS_US_PER_MS,
    .settle_us = cs_router_settings_missing_expiry_us (settings),
  };
}

cs_time_us_t
cs_router_settings_expiry_us (const cs_router_settings_t *settings)
{
  return (RENEWALS_UNTIL_EXPIRY * settings->renewal_ms + settings->lapse_ms)
         * CS_US_PER_MS;
}

uint32_t
cs_router_settings_capacity (const cs_router_settings_t *settings)
{
  double capacity = CAPACITY_UNITS * settings->cpu_share * settings->link_mbps;
  return capacity < UINT32_MAX ? (uint32_t)capacity : UINT32_MAX;
}

int
cs_router_settings_parse (const char *file, const char *text,
                          cs_router_settings_t *out, cs_buf_t *reason)
{
  int rc
      = cs_settings_table_parse (&table, file, text, out, sizeof *out, reason);
  if (rc == 0)
    out->has_contention = cs_contracts_have_contention (out->contracts);
  return rc;
}

int
cs_router_settings_read (const char *file, cs_router_settings_t *out,
                         cs_buf_t *reason)
{
  int rc = cs_settings_table_read (&table, file, out, sizeof *out, reason);
  if (rc == 0)
    out->has_contention = cs_contracts_have_contention (out->contracts);
  return rc;
}
