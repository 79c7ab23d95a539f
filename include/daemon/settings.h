/* The settings of a daemon, read once from an INI file when it starts.  */

#ifndef CS_DAEMON_SETTINGS_H
#define CS_DAEMON_SETTINGS_H

#include <stdint.h>

#include "common/settings_table.h"
#include "common/str.h"

typedef struct
{
  /* [host] */
  char name[CS_SETTING_TEXT_MAX];
  char data_centre[CS_SETTING_TEXT_MAX];
  /* [caller] */
  char caller_listen[CS_SETTING_TEXT_MAX];
  char tls_certificate[CS_SETTING_TEXT_MAX]; /* PEM file; empty: no TLS */
  uint32_t workers;
  uint32_t body_limit_kib;
  uint32_t deadline_ms;   /* of a whole request */
  uint32_t queue_wait_ms; /* longest wait for a target */
  /* [operator] */
  char operator_listen[CS_SETTING_TEXT_MAX];
  char operator_key[CS_SETTING_TEXT_MAX];
  /* [peer] */
  char peer_listen[CS_SETTING_TEXT_MAX];
  char peer_seeds[CS_SETTING_TEXT_MAX]; /* addresses separated by spaces */
  char fleet_key[CS_SETTING_TEXT_MAX];
  uint32_t heartbeat_ms;
  /* [platform] */
  char platform_address[CS_SETTING_TEXT_MAX]; /* empty: no platform */
  char platform_namespace[CS_SETTING_TEXT_MAX];
  char platform_token[CS_SETTING_TEXT_MAX];
  uint32_t platform_timeout_ms;
  uint32_t follow_ms;   /* pause after a failed check for releases; ten times
                           this between checks of hosts that do not watch */
  uint32_t claim_ttl_s; /* time for which an ended claim is stored */
  /* [target] */
  uint32_t connect_timeout_ms;
  uint32_t first_byte_timeout_ms;
  uint32_t token_timeout_ms; /* longest pause within a response */
  uint32_t poll_ms;
  uint32_t tries;            /* max. attempts per request */
  uint32_t connection_age_s; /* max. age of a pooled connection */
  uint32_t order_ms;         /* timeout of an order to an engine */
  uint32_t load_pause_ms;    /* between two orders to load a version */
  /* [placement], see cs_pool_policy_t in cranberrystile/pool.h */
  uint32_t short_percent;
  uint32_t long_percent;
  uint32_t spill_ranks;
  uint32_t settle_ms;
  uint32_t ramp_s;
  uint32_t queue_length; /* max. requests waiting in a pool */
  /* [stop] */
  uint32_t lame_duck_ms; /* time for which a leaving host accepts requests */
} cs_settings_t;

/* Reads FILE into SETTINGS.  Returns 0, or CS_ERR_BAD_SETTING with a message
   "FILE:LINE: ..." appended to REASON.  */
int cs_settings_read (const char *file, cs_settings_t *settings,
                      cs_buf_t *reason);

/* Like cs_settings_read for TEXT in memory; FILE is used in messages only.  */
int cs_settings_parse (const char *file, const char *text,
                       cs_settings_t *settings, cs_buf_t *reason);

#endif
