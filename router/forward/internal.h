/* A request under way, shared by the files of this folder.  */

#ifndef CS_ROUTER_FORWARD_INTERNAL_H
#define CS_ROUTER_FORWARD_INTERNAL_H

#include "cranberrystile/event_stream.h"
#include "platform/headers.h"
#include "router/forward.h"

/* How the answer under way is handled.  */
typedef enum
{
  CS_FORWARD_WHOLE,   /* collected, and passed on once it is whole */
  CS_FORWARD_PARTS,   /* passed on as it comes */
  CS_FORWARD_EVENTS,  /* whole events of a stream, passed on as they come */
  CS_FORWARD_REFUSED, /* the target did not run the request; read and dropped
                       */
  CS_FORWARD_FAILED   /* a failure that another try may mend; collected */
} cs_forward_mode_t;

struct cs_forward
{
  cs_router_t *router;
  cs_caller_t *caller;
  cs_http_head_t head;
  cs_buf_t body;
  cs_caller_request_t request; /* views into HEAD */
  cs_routing_t *routing;       /* the version that the request came under */
  const cs_route_t *route;
  const cs_organisation_t *organisation; /* NULL on a public route */
  cs_service_state_t *service;
  bool may_fetch; /* targets copy context quicker than they read it */
  cs_time_us_t arrived;
  cs_time_us_t give_up;
  cs_time_us_t first_byte; /* of the answer from a target; 0 until then */
  cs_timer_t timer;        /* fires at GIVE_UP */
  cs_timer_t watchdog;     /* fires when the target may have fallen silent */

  /* The tries.  */
  uint32_t rank; /* how urgent the request is, 0 the most */

  cs_connection_t *connection; /* carries the try under way, or NULL */
  cs_target_t *target;         /* of the last try */
  cs_target_t *tried[CS_CHOICE_MAX_AVOIDED];
  uint32_t tried_count;
  uint32_t tries;        /* in all */
  uint32_t sends;        /* tries of which a byte may have arrived */
  uint32_t connects;     /* tries that found no connection */
  bool outcome_unknown;  /* a try may have run */
  cs_time_us_t sent_at;  /* of the try under way */
  cs_time_us_t event_at; /* last part of a stream's answer; 0: none yet */
  cs_choice_t choice;  /* of the last try; its targets are TARGET and SOURCE */
  cs_target_t *source; /* where the last try's target copies context from */

  /* The answer.  */
  cs_forward_mode_t mode;
  cs_buf_t answer_head; /* status line and fields, without framing */
  cs_buf_t answer_body; /* collected, or events not passed on yet */
  int status;           /* of the answer under way */
  bool begun;           /* a byte of the answer is with the caller */
  bool is_events;       /* the answer that has begun is a stream of events */
  bool chunked;         /* the answer is passed on in chunks */
  bool has_length;      /* the answer under way has that length */
  uint64_t length;
  cs_event_stream_t events;
  bool paused; /* the target's connection waits for the caller */
};

/* The target of the try under way may have fallen silent.  */
void cs_forward_check_silence (void *context, cs_time_us_t now);

/* Sends the request to the next target, or ends it.  */
void cs_forward_try (cs_forward_t *forward, cs_time_us_t now);

/* A try has ended with ERROR (not CS_OK): tries again, or ends the request. */
void cs_forward_try_failed (cs_forward_t *forward, int error, bool was_sent,
                            cs_time_us_t now);

/* Ends the request with an answer of the router's own, or by breaking off an
   answer that has begun.  Frees the forward.  */
void cs_forward_fail (cs_forward_t *forward, int error, cs_time_us_t now);

/* Ends the request: the answer is with the caller.  Frees the forward.  */
void cs_forward_complete (cs_forward_t *forward, bool close, cs_time_us_t now);

/* Handlers of the connection to a target.  */
extern const cs_connection_handlers_t cs_forward_connection_handlers;

/* Passes the collected answer on whole and ends the request.  */
void cs_forward_pass_whole (cs_forward_t *forward, cs_time_us_t now);

#endif
