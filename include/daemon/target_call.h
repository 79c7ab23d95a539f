/* One HTTP call to a target or to a router of another data centre.  */

#ifndef CS_DAEMON_TARGET_CALL_H
#define CS_DAEMON_TARGET_CALL_H

#include <stdbool.h>

#include "common/clock.h"
#include "common/str.h"
#include "daemon/endpoint.h"
#include "daemon/settings.h"

#define CS_CALL_MAX_HEADERS 8

typedef struct
{
  const char *method;
  const char *path; /* with query */
  cs_str_t body;
  cs_str_t request_id;    /* sent as X-Request-Id */
  bool expect_request_id; /* the response must repeat the id */
  bool repeatable;        /* may be resent, so a pooled connection may
                             be used */
  const char *headers[CS_CALL_MAX_HEADERS]; /* "Name: value"; ends with NULL
                                               unless full */
  cs_time_us_t deadline;                    /* of the whole call */
} cs_call_request_t;

typedef struct
{
  int status;
  char content_type[128];
  uint32_t retry_after_s; /* from Retry-After, 0 if absent */
  cs_target_load_t load;  /* from the ORCA header; valid if HAS_LOAD */
  bool has_load;
} cs_call_head_t;

/* Receives the response.  A result other than 0 ends the call, which then
   returns it.  */
typedef struct
{
  void *context;
  int (*head) (void *context, const cs_call_head_t *head);
  int (*data) (void *context, cs_str_t part);
  /* Called about once a second while no data arrives.  May be NULL.  */
  int (*idle) (void *context);
} cs_call_sink_t;

/* Makes the call and blocks until it ends.  Returns 0 if the complete response
   was passed to SINK, whatever its status, or an error kind:
   CS_ERR_CONNECT: no byte of the request was sent.
   CS_ERR_SILENT, CS_ERR_CUT, CS_ERR_WRONG_ANSWER: the request may have been
   executed.  If the deadline expires after the request was sent, this is
   CS_ERR_SILENT.  */
int cs_target_call (cs_endpoint_t *endpoint, const cs_settings_t *settings,
                    const cs_call_request_t *request,
                    const cs_call_sink_t *sink);

/* Parses a load report: {"running": N, "waiting": N, "version": "..."}, or the
   ORCA form with these under "named_metrics".  TAKEN is the time of the
   report.  Returns false if TEXT is not a load report.  */
bool cs_target_load_parse (cs_str_t text, cs_time_us_t taken,
                           cs_target_load_t *out);

#endif
