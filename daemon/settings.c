#include "daemon/settings.h"

#include <stddef.h>

#include "common/settings_table.h"

#define AT(field) offsetof (cs_settings_t, field)

static const cs_setting_t settings[] = {
  { "caller", "body_limit_kib", CS_SETTING_NUMBER, AT (body_limit_kib), 1,
    65536, "4096" },
  { "caller", "deadline_ms", CS_SETTING_NUMBER, AT (deadline_ms), 100, 3600000,
    "300000" },
  { "caller", "listen", CS_SETTING_ADDRESS, AT (caller_listen), 0, 0, NULL },
  { "caller", "queue_wait_ms", CS_SETTING_NUMBER, AT (queue_wait_ms), 1,
    600000, "10000" },
  { "caller", "tls_certificate", CS_SETTING_TEXT, AT (tls_certificate), 0, 0,
    "" },
  { "caller", "workers", CS_SETTING_NUMBER, AT (workers), 2, 4096, "600" },
  { "host", "data_centre", CS_SETTING_NAME, AT (data_centre), 0, 0, NULL },
  { "host", "name", CS_SETTING_NAME, AT (name), 0, 0, NULL },
  { "operator", "key", CS_SETTING_TEXT, AT (operator_key), 0, 0, "" },
  { "operator", "listen", CS_SETTING_ADDRESS, AT (operator_listen), 0, 0,
    NULL },
  { "peer", "fleet_key", CS_SETTING_TEXT, AT (fleet_key), 0, 0, NULL },
  { "peer", "heartbeat_ms", CS_SETTING_NUMBER, AT (heartbeat_ms), 20, 400,
    "250" },
  { "peer", "listen", CS_SETTING_ADDRESS, AT (peer_listen), 0, 0, NULL },
  { "peer", "seeds", CS_SETTING_ADDRESSES, AT (peer_seeds), 0, 0, "" },
  { "placement", "long_percent", CS_SETTING_NUMBER, AT (long_percent), 1,
    10000, "70" },
  { "placement", "queue_length", CS_SETTING_NUMBER, AT (queue_length), 1,
    100000, "4096" },
  { "placement", "ramp_s", CS_SETTING_NUMBER, AT (ramp_s), 0, 3600, "20" },
  { "placement", "settle_ms", CS_SETTING_NUMBER, AT (settle_ms), 0, 1000,
    "5" },
  { "placement", "short_percent", CS_SETTING_NUMBER, AT (short_percent), 1,
    1000, "90" },
  { "placement", "spill_ranks", CS_SETTING_NUMBER, AT (spill_ranks), 0, 15,
    "4" },
  { "platform", "address", CS_SETTING_ADDRESS_OR_NONE, AT (platform_address),
    0, 0, "" },
  { "platform", "claim_ttl_s", CS_SETTING_NUMBER, AT (claim_ttl_s), 1, 2592000,
    "86400" },
  { "platform", "follow_ms", CS_SETTING_NUMBER, AT (follow_ms), 50, 60000,
    "1000" },
  { "platform", "namespace", CS_SETTING_NAME, AT (platform_namespace), 0, 0,
    "default" },
  { "platform", "timeout_ms", CS_SETTING_NUMBER, AT (platform_timeout_ms), 10,
    60000, "2000" },
  { "platform", "token", CS_SETTING_TEXT, AT (platform_token), 0, 0, "" },
  { "stop", "lame_duck_ms", CS_SETTING_NUMBER, AT (lame_duck_ms), 0, 600000,
    "3000" },
  { "target", "connect_timeout_ms", CS_SETTING_NUMBER, AT (connect_timeout_ms),
    1, 60000, "500" },
  { "target", "connection_age_s", CS_SETTING_NUMBER, AT (connection_age_s), 1,
    86400, "300" },
  { "target", "first_byte_timeout_ms", CS_SETTING_NUMBER,
    AT (first_byte_timeout_ms), 1, 3600000, "30000" },
  { "target", "load_pause_ms", CS_SETTING_NUMBER, AT (load_pause_ms), 0,
    3600000, "1000" },
  { "target", "order_ms", CS_SETTING_NUMBER, AT (order_ms), 1, 600000,
    "1000" },
  { "target", "poll_ms", CS_SETTING_NUMBER, AT (poll_ms), 10, 60000, "1000" },
  { "target", "token_timeout_ms", CS_SETTING_NUMBER, AT (token_timeout_ms), 1,
    3600000, "10000" },
  { "target", "tries", CS_SETTING_NUMBER, AT (tries), 1, 10, "3" },
};

static const cs_settings_table_t table
    = { .settings = settings, .count = sizeof settings / sizeof settings[0] };

int
cs_settings_parse (const char *file, const char *text, cs_settings_t *out,
                   cs_buf_t *reason)
{
  return cs_settings_table_parse (&table, file, text, out, sizeof *out,
                                  reason);
}

int
cs_settings_read (const char *file, cs_settings_t *out, cs_buf_t *reason)
{
  return cs_settings_table_read (&table, file, out, sizeof *out, reason);
}
