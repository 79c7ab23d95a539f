/* The settings of a router, read from an INI file at start and again when the
   file changes.  */

#ifndef CS_ROUTER_SETTINGS_H
#define CS_ROUTER_SETTINGS_H

#include <stdint.h>

#include "common/clock.h"
#include "common/settings_table.h"
#include "common/str.h"

typedef struct
{
  /* [host] */
  char name[CS_SETTING_TEXT_MAX];
  char data_centre[CS_SETTING_TEXT_MAX];
  double memory_mb; /* the process may use */
  /* [listen] */
  char callers[CS_SETTING_TEXT_MAX];
  char readiness[CS_SETTING_TEXT_MAX];
  char metrics[CS_SETTING_TEXT_MAX]; /* empty: none */
  char peers[CS_SETTING_TEXT_MAX];   /* of other routers; empty: none */
  /* [peer] */
  uint32_t beat_ms;     /* between two words to each peer */
  uint32_t directory_s; /* between two looks for other routers */
  uint32_t renew_s;     /* between two renewals of this router's entry */
  /* [platform] */
  char platform[CS_SETTING_TEXT_MAX];
  double apply_ms;   /* a configuration is in force everywhere within this */
  double drain_ms;   /* a target that leaves gets nothing new after this */
  double contact_ms; /* all bounds hold again this long after trouble */
  uint32_t watch_ms; /* longest wait of one watch, if the bounds allow it */
  uint32_t coalesce_ms; /* pause between two watches, so that a burst of
                           changes is one call */
  uint32_t call_timeout_ms;
  uint32_t lapse_ms; /* targets that lapsed during an outage are back this
                        long after it */
  /* [retry] */
  double retry_ratio; /* repeats per first try, all routers together */
  double retry_slack; /* repeats in a window beside that, likewise */
  double retry_window_s;
  /* [target] */
  uint32_t connect_timeout_ms;
  uint32_t unacknowledged_ms; /* sent bytes may wait this long for an ack */
  uint32_t idle_ms;           /* a kept connection is closed after this */
  uint32_t fresh_ms;          /* work that may not repeat goes on a connection
                                 used within this time, or on a new one */
  /* [stop] */
  uint32_t lame_duck_ms; /* requests are still taken for this long */
  double grace_s;        /* the process is gone after this */
  /* [log] */
  uint32_t lines_per_s;
} cs_router_settings_t;

/* Time within which any news of the platform has to be acted on.  */
cs_time_us_t cs_router_settings_news_us (const cs_router_settings_t *settings);

/* Wait of one watch: it has to leave time for another call, also when the
   first was lost on a connection that fell silent.  */
uint32_t cs_router_settings_watch_ms (const cs_router_settings_t *settings);

/* A target whose entry is missing since an outage is out of use this long
   after the outage's last sign.  */
cs_time_us_t
cs_router_settings_settle_us (const cs_router_settings_t *settings);

/* Reads FILE.  Returns 0, or CS_ERR_BAD_SETTING with one line "FILE:LINE: what
   is wrong" appended to REASON; OUT is unspecified then.  */
int cs_router_settings_read (const char *file, cs_router_settings_t *out,
                             cs_buf_t *reason);

/* The same for text held in memory; FILE only names it in messages.  */
int cs_router_settings_parse (const char *file, const char *text,
                              cs_router_settings_t *out, cs_buf_t *reason);

#endif
