/* One HTTP call to a target or to a router of another data centre.  */

#ifndef CS_DAEMON_TARGET_CALL_H
#define CS_DAEMON_TARGET_CALL_H

#include <stdbool.h>

#include "common/clock.h"
#include "common/str.h"
#include "daemon/endpoint.h"
#include "daemon/settings.h"

#define CS_CALL_HEADERS_MAX 8

typedef struct
{
  const char *method;
  const char *path; /* with query */
  cs_str_t body;
  cs_str_t request_id; /* must come back in the answer */
  bool expect_request_id;
  bool repeatable;                          /* a reused connection is good */
  const char *headers[CS_CALL_HEADERS_MAX]; /* "Name: value", NULL ends */
  cs_time_us_t deadline;                    /* of the whole call */
} cs_call_request_t;

typedef struct
{
  int status;
  char content_type[128];
  uint32_t retry_after_s; /* from Retry-After, 0 when absent */
  cs_target_load_t load;  /* from the ORCA header */
  bool has_load;
} cs_call_head_t;

/* Where the answer goes.  A result other than 0 ends the call with it.  */
typedef struct
{
  void *context;
  int (*head) (void *context, const cs_call_head_t *head);
  int (*data) (void *context, cs_str_t part);
  /* Called about once a second while nothing comes.  May be NULL.  */
  int (*idle) (void *context);
} cs_call_sink_t;

/* Runs the call and blocks until it ends.  Returns 0 when the whole answer was
   handed to SINK, whatever its status, or an error kind:
   CS_ERR_CONNECT: no byte of the request left.
   CS_ERR_SILENT, CS_ERR_CUT, CS_ERR_WRONG_ANSWER: it may have been run.
   CS_ERR_DEADLINE is reported as CS_ERR_SILENT once the request was sent.  */
int cs_target_call (cs_endpoint_t *endpoint, const cs_settings_t *settings,
                    const cs_call_request_t *request,
                    const cs_call_sink_t *sink);

/* Reads a load report: {"running": N, "waiting": N, "version": "..."}, or the
   ORCA form with these under "named_metrics".  Returns whether TEXT was one.
 */
bool cs_target_load_parse (cs_str_t text, cs_time_us_t taken,
                           cs_target_load_t *out);

#endif
