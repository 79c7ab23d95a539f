/* Header fields of the platform: decodes them from requests and responses, and
   writes those that go to targets and callers.  */

#ifndef CS_PLATFORM_HEADERS_H
#define CS_PLATFORM_HEADERS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "cranberrystile/fleet.h"
#include "cranberrystile/id_list.h"
#include "cranberrystile/prompt_context.h"
#include "http/head.h"

/* Header fields of a caller's request.  The strings are borrowed from the
   head.  */
typedef struct
{
  cs_str_t id; /* request id; empty if absent */
  cs_str_t host;
  cs_str_t path;        /* without the query */
  cs_str_t key;         /* API key; empty if absent */
  uint32_t deadline_ms; /* time that the caller waits; 0 if absent */
  cs_str_t last_event_id;
  cs_str_t resumes; /* id of the request that brought the first event of the
                       stream that this one takes up; empty if absent */
  cs_prompt_context_t context;
  cs_str_t prompt; /* its parts, for cs_prompt_parts_parse */
} cs_caller_request_t;

/* Decodes HEAD.  Returns 0, or CS_ERR_BAD_REQUEST with *REASON set to a static
   string that describes the problem.  */
int cs_headers_read_request (const cs_http_head_t *head,
                             cs_caller_request_t *out, const char **reason);

/* What the router adds to a request that it sends to a target.  */
typedef struct
{
  cs_str_t target_id;
  cs_str_t organisation;  /* may be empty */
  cs_str_t last_event_id; /* overrides the caller's; empty: kept as sent */
  uint32_t deadline_ms;
  const struct sockaddr_in *fetch_from; /* the target first copies context from
                                           this address; may be NULL */
  uint32_t rank;       /* priority of the request; 0 is the highest */
  uint32_t rank_count; /* number of ranks; 0: RANK is not sent */
  uint64_t body_len;
  bool has_body;
} cs_target_request_t;

/* Appends to OUT the head of the request to a target: the caller's fields
   without hop-by-hop fields and those that only the router sets, followed by
   the fields of REQUEST.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_headers_write_request (const cs_http_head_t *head,
                              const cs_target_request_t *request,
                              cs_buf_t *out);

/* Header fields of a target's response.  The strings are borrowed from the
   head.  */
typedef struct
{
  cs_str_t id;        /* of the request; may be empty */
  bool has_signature; /* the response comes from a target itself */
  bool not_executed;  /* the target did not execute the request */
  bool is_encoded;    /* has Content-Encoding: modified on the way */
  bool is_stream;     /* a text/event-stream */
  bool has_load;      /* RUNNING, WAITING and SLOTS are set */
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  double slowness;       /* how long work takes there now, 1 = as usual; 0: not
                            stated */
  bool has_load_excess;  /* a part of the load after SLOTS was left out: out of
                            range, no number, or unknown */
  uint32_t keep_alive_s; /* idle timeout of the target for connections; 0 if
                            absent */
  cs_str_t instance;     /* id of the instance that responded; may be empty */
  bool is_leaving;       /* the target says that it is leaving */
  cs_time_us_t pause_us; /* the target wants no requests for this long, at most
                            CS_TARGET_MAX_PAUSE_US; 0: not stated */
  bool is_limited;       /* the target names a limit */
  double limit_per_s;    /* requests that it takes from all routers together */
  bool states_cold;      /* COLD_US is set */
  cs_time_us_t cold_us;  /* the target is cold for this much longer; 0: it
                            isn't */
} cs_target_response_t;

void cs_headers_read_response (const cs_http_head_t *head,
                               cs_target_response_t *out);

/* Appends to OUT the fields of a target's response that are forwarded to the
   caller, each terminated by CRLF.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_headers_write_response_fields (const cs_http_head_t *head,
                                      cs_buf_t *out);

/* Returns the name of the header field with the request id.  */
const char *cs_headers_request_id_name (void);

#endif
