/* The platform's header fields, decoded once into the project's types.  */

#ifndef CS_PLATFORM_HEADERS_H
#define CS_PLATFORM_HEADERS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "cranberrystile/fleet.h"
#include "cranberrystile/prompt_context.h"
#include "http/head.h"

/* What a caller says of its request; the strings are views into the head.  */
typedef struct
{
  cs_str_t id; /* empty when it was not given */
  cs_str_t host;
  cs_str_t path;        /* without the query */
  cs_str_t key;         /* empty when it was not given */
  uint32_t deadline_ms; /* how long the caller waits; 0 when not given */
  cs_str_t last_event_id;
  cs_prompt_context_t context;
} cs_caller_request_t;

/* Returns 0, or CS_ERR_BAD_REQUEST with *WHY naming what is wrong.  */
int cs_headers_read_request (const cs_http_head_t *head,
                             cs_caller_request_t *out, const char **why);

/* What the router adds to a request for a target.  */
typedef struct
{
  cs_str_t target_id;
  cs_str_t organisation;  /* empty: none */
  cs_str_t last_event_id; /* empty: as the caller sent it */
  uint32_t deadline_ms;
  const struct sockaddr_in *fetch_from; /* the target first copies context from
                                           there; NULL: it does not */
  uint32_t rank;                        /* how urgent it is, 0 the most */
  uint32_t ranks; /* RANK is below this; 0: it is not told */
  uint64_t body_len;
  bool has_body;
} cs_target_request_t;

/* Appends to OUT the head of the request for a target: the caller's fields but
   for those that concern its connection or are the router's to set.  Returns
   0 or CS_ERR_NO_MEMORY.  */
int cs_headers_write_request (const cs_http_head_t *head,
                              const cs_target_request_t *request,
                              cs_buf_t *out);

/* What a target says with an answer.  */
typedef struct
{
  cs_str_t id;        /* of the request that it answers; may be empty */
  bool has_signature; /* the answer is a target's own */
  bool not_executed;  /* the target says that it did not run the request */
  bool is_encoded;    /* the body is not as the target made it */
  bool is_stream;     /* a series of events */
  bool has_load;
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t idle_s; /* the target closes an idle connection after this; 0: not
                      said */
  cs_str_t instance;
} cs_target_answer_t;

void cs_headers_read_answer (const cs_http_head_t *head,
                             cs_target_answer_t *out);

/* Appends the fields of a target's answer that go on to the caller, each with
   its line end.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_headers_write_answer_fields (const cs_http_head_t *head, cs_buf_t *out);

/* Name of the field that carries a request's id.  */
const char *cs_headers_request_id_name (void);

#endif
