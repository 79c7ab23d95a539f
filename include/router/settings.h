/* The settings of a router, read from an INI file at startup and again when
   the file changes.  */

#ifndef CS_ROUTER_SETTINGS_H
#define CS_ROUTER_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/settings_table.h"
#include "common/str.h"
#include "cranberrystile/outage.h"

typedef struct
{
  /* [host] */
  char name[CS_SETTING_TEXT_MAX];
  char data_centre[CS_SETTING_TEXT_MAX];
  double memory_mb; /* memory that the process may use */
  double cpu_share; /* of a core, that the process may use */
  double link_mbps; /* of the host's network link */
  /* Requests that can't be served yet are held for this long after the start
     of the process; 0: they are refused at once.  */
  uint32_t start_hold_ms;
  /* [listen] */
  char callers[CS_SETTING_TEXT_MAX];
  char readiness[CS_SETTING_TEXT_MAX];
  char metrics[CS_SETTING_TEXT_MAX]; /* empty: no metrics */
  char peers[CS_SETTING_TEXT_MAX];   /* empty: no peers */
  /* [peer] */
  uint32_t beat_ms;     /* interval of heartbeats to each peer */
  uint32_t directory_s; /* interval of discovery of other routers */
  uint32_t renew_s;     /* interval of renewals of this router's entry */
  /* [platform] */
  char platform[CS_SETTING_TEXT_MAX];
  char contracts[CS_SETTING_TEXT_MAX]; /* parts of the platform's terms that
                                          are in force */
  bool has_contention; /* by CONTRACTS: callers contend for the capacity of
                          plain services */
  double apply_ms;     /* maximum time until every router applies a new
                          configuration */
  double drain_ms;     /* maximum time until a leaving target gets no new
                          requests */
  double contact_ms;   /* maximum time after an outage of the platform until
                          all bounds hold again */
  uint32_t watch_ms;   /* maximum wait of a watch; the bounds may shorten it */
  uint32_t coalesce_ms; /* pause between watches, to batch changes */
  uint32_t call_timeout_ms;
  uint32_t renewal_ms;  /* interval at which targets renew their entries */
  double evacuation_ms; /* maximum time until targets in a data centre that is
                           evacuated get no requests; 0: evacuations are not
                           followed */
  uint32_t lapse_ms;    /* targets that expired during an outage are listed
                           again within this time after it */
  /* [retry] */
  double retry_ratio; /* retries per first attempt, over all routers */
  double retry_slack; /* additional retries per window, over all routers */
  double retry_window_s;
  /* [target] */
  uint32_t connect_timeout_ms;
  uint32_t unacknowledged_ms; /* TCP user timeout */
  uint32_t idle_ms;           /* idle timeout of pooled connections */
  uint32_t fresh_ms;          /* maximum idle time of a connection for a
                                 request that must not be retried */
  /* [stop] */
  uint32_t lame_duck_ms; /* new requests are accepted for this long */
  double grace_s;        /* the process exits within this time */
  /* [log] */
  uint32_t lines_per_s;
  /* [regions]: the region of each data centre */
  cs_setting_pairs_t regions;
} cs_router_settings_t;

/* Time within which every change at the platform has to be applied.  */
cs_time_us_t
cs_router_settings_update_limit_us (const cs_router_settings_t *settings);

/* Timeout of one watch.  It leaves time for another call, for the case that
   the first was lost on a dead connection.  */
uint32_t cs_router_settings_watch_ms (const cs_router_settings_t *settings);

/* Age of the last confirmation of the evacuations from which a router asks the
   platform itself.  */
cs_time_us_t
cs_router_settings_evacuation_age_us (const cs_router_settings_t *settings);

/* Timeout of one watch of evacuations, which were confirmed AGE ago.  It may
   exceed watch_ms.  */
uint32_t
cs_router_settings_evacuation_watch_ms (const cs_router_settings_t *settings,
                                        cs_time_us_t age);

/* Time after the last sign of an outage until targets whose entries are still
   missing are removed.  */
cs_time_us_t
cs_router_settings_missing_expiry_us (const cs_router_settings_t *settings);

cs_outage_policy_t
cs_router_settings_outage_policy (const cs_router_settings_t *settings);

/* Time after which the platform no longer lists a target that is gone.  */
cs_time_us_t
cs_router_settings_expiry_us (const cs_router_settings_t *settings);

/* Relative capacity of this host to serve its peers.  */
uint32_t cs_router_settings_capacity (const cs_router_settings_t *settings);

/* Reads FILE.  Returns 0, or CS_ERR_BAD_SETTING with one line "FILE:LINE:
   problem" appended to REASON and unspecified contents of OUT.  */
int cs_router_settings_read (const char *file, cs_router_settings_t *out,
                             cs_buf_t *reason);

/* Like cs_router_settings_read for TEXT; FILE is used only in messages.  */
int cs_router_settings_parse (const char *file, const char *text,
                              cs_router_settings_t *out, cs_buf_t *reason);

#endif
