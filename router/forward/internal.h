/* State of one forwarded request, private to this folder.  */

#ifndef CS_ROUTER_FORWARD_INTERNAL_H
#define CS_ROUTER_FORWARD_INTERNAL_H

#include "cranberrystile/event_stream.h"
#include "cranberrystile/start_hold.h"
#include "net/overdue.h"
#include "platform/headers.h"
#include "router/forward.h"
#include "router/stream_versions.h"

/* Whole events that a target may have written of an answer that it has just
   begun.  */
#define CS_FORWARD_EVENTS_BEGUN 3

/* How the current response from the target is handled.  */
typedef enum
{
  CS_FORWARD_BUFFERED, /* sent to the caller when complete */
  CS_FORWARD_STREAMED, /* forwarded as it arrives */
  CS_FORWARD_EVENTS, /* event stream, forwarded one complete event at a time */
  CS_FORWARD_REFUSED, /* the target did not execute the request; the body is
                         discarded */
  CS_FORWARD_FAILED   /* server error that a retry may resolve; buffered */
} cs_forward_mode_t;

struct cs_forward
{
  cs_router_t *router;
  cs_caller_t *caller;
  cs_http_head_t head;
  cs_buf_t body;
  cs_caller_request_t request; /* borrowed from HEAD */
  cs_routing_t *routing; /* the version in effect when the request arrived */
  const cs_route_t *route;
  const cs_organisation_t *organisation; /* may be NULL */
  cs_service_state_t *service;
  bool is_plain; /* SERVICE is no engine */
  uint64_t fingerprint;
  cs_causes_t causes; /* of a crash of its target: itself, and its parts */
  uint64_t stream;    /* hash of the id of the request that began the stream */
  uint64_t version;   /* of the targets that may go on with a stream that has
                         begun, see cs_target_t; 0: any */
  cs_version_lookup_t lookup; /* of VERSION */
  uint64_t recorded_version; /* of the stream, in the latest record; 0: none */
  bool must_save; /* an earlier record has another version, so no event may be
                     sent before the latest one is saved */
  cs_stream_wait_t save;  /* of VERSION, before the first event is sent */
  bool is_held;           /* the first events wait for that */
  cs_timer_t hold_timer;  /* fires when they have waited too long */
  bool may_fetch_context; /* copying context between targets is cheaper than
                             recomputing it */
  cs_time_us_t received_at;
  cs_time_us_t deadline;
  cs_time_us_t first_byte_at; /* when a target's response began; 0: not yet */
  cs_timer_t deadline_timer;  /* fires at DEADLINE */
  cs_overdue_t deadline_overdue;
  cs_overdue_t watchdog_overdue;
  cs_timer_t watchdog; /* fires when the target may have stopped responding */

  cs_held_request_t held; /* while the router starts */

  /* Attempts.  */
  uint32_t rank; /* priority of the request; 0 is the most urgent */
  cs_connection_t *connection; /* of the current attempt, or NULL */
  cs_target_t *target;         /* of the latest attempt */
  cs_target_t *tried_targets[CS_CHOICE_MAX_AVOIDED];
  uint32_t tried_count;
  uint32_t attempt_count;
  uint64_t events_before;    /* whole events before the current attempt */
  uint32_t sent_attempts;    /* a byte may have reached the target */
  uint32_t failed_connects;  /* attempts that could not connect */
  bool outcome_unknown;      /* a target may have executed the request */
  cs_time_us_t available_at; /* when the targets' pauses end, if they caused
                                the failure; 0: not known */
  cs_time_us_t sent_at;      /* of the current attempt */
  bool awaits_event; /* the current attempt is to send the first event, for
                        which the route has an objective */
  bool is_silent; /* the target of the current attempt, and no other one could
                     be tried */
  bool was_alive; /* the target answered the current attempt, or accepted its
                     connection */
  cs_time_us_t last_event_at; /* latest data of an event stream; 0: none yet */
  cs_choice_t choice;  /* of the latest attempt, with TARGET and SOURCE */
  cs_target_t *source; /* TARGET copies context from it; may be NULL */

  /* The response.  */
  cs_forward_mode_t mode;
  cs_buf_t response_head; /* status line and header fields, without framing */
  cs_buf_t response_body; /* data not sent to the caller yet */
  size_t discarded;       /* bytes of the body of a refusal */
  int status;             /* of the current response */
  bool response_started;  /* part of the response was sent to the caller */
  bool is_event_stream; /* the response that was started is an event stream */
  bool chunked;         /* the caller receives chunked encoding */
  bool has_length;      /* the current response states LENGTH */
  bool is_framed;       /* it does not end with its connection */
  uint64_t length;
  cs_event_stream_t events;
  bool paused;              /* reading from the target waits for the caller */
  cs_time_us_t unpaused_at; /* when it last went on */
};

/* Call when TIMER has run, before deciding that the target has not responded.
   Reads what has arrived, within the limit of OVERDUE.  Returns true if there
   was something: TIMER runs again unless the request has ended, in which case
   FORWARD is gone.  */
bool cs_forward_read_first (cs_forward_t *forward, cs_timer_t *timer,
                            cs_overdue_t *overdue, cs_time_us_t now);

/* Watchdog callback: retries elsewhere if the current target has been silent
   for too long and another one can be tried.  */
void cs_forward_check_silence (void *context, cs_time_us_t now);

/* When the current target has been silent for too long.  */
cs_time_us_t cs_forward_silence_deadline (const cs_forward_t *forward);

/* Whether targets may execute the request more than once.  */
bool cs_forward_is_repeatable (const cs_forward_t *forward);

uint32_t cs_forward_remaining_ms (const cs_forward_t *forward,
                                  cs_time_us_t now);

/* Chooses the target of the next attempt.  Returns CS_OK, or the error to
   respond with.  */
int cs_forward_choose (cs_forward_t *forward, cs_choice_t *choice,
                       cs_time_us_t now);

/* The target answered the current attempt.  Records how long that took, for
   the choice of targets and for the expected times of other calls.  */
void cs_forward_record_time (const cs_forward_t *forward, cs_time_us_t now);

/* Whether the request is retried after an attempt that ended with ERROR.  If
   so, takes the retry from the budget; attempts that sent nothing don't count
   against it.  */
bool cs_forward_take_retry (cs_forward_t *forward, int error, bool was_sent,
                            cs_time_us_t now);

/* Gives up on the current target, which is silent, and sends the request to
   that of CHOICE.  */
void cs_forward_move (cs_forward_t *forward, const cs_choice_t *choice,
                      cs_time_us_t now);

/* Sends the request to the next target, or fails it.  */
void cs_forward_start_attempt (cs_forward_t *forward, cs_time_us_t now);

/* Call when the first event arrived (IS_ANSWERED) or the attempt ended.
   Records whether the wait for it was longer than the objective.  */
void cs_forward_end_wait (cs_forward_t *forward, bool is_answered,
                          cs_time_us_t now);

/* Call when an attempt ended with ERROR (not CS_OK): retries, or fails the
   request.  WAS_SENT: a byte may have reached the target.  */
void cs_forward_attempt_failed (cs_forward_t *forward, int error,
                                bool was_sent, cs_time_us_t now);

/* Ends the request with an error response, or by closing the caller's
   connection if a response was already started.  Frees FORWARD.  */
void cs_forward_fail (cs_forward_t *forward, int error, cs_time_us_t now);

/* Ends the request after the full response was sent.  Frees FORWARD.  */
void cs_forward_complete (cs_forward_t *forward, bool close, cs_time_us_t now);

/* Sends the contents of response_body, in a single write with the head if that
   has not been sent yet.  */
void cs_forward_flush (cs_forward_t *forward);

/* version.c */

/* Whether the response is a stream that may go on at another target.  */
bool cs_forward_is_resumable (const cs_forward_t *forward);

/* Starts the first attempt, after a search for the version of the stream that
   the request takes up, or fails the request.  */
void cs_forward_find_version (cs_forward_t *forward, cs_time_us_t now);

/* Records the version at which the stream begins, before the target can have
   answered.  */
void cs_forward_record_version (cs_forward_t *forward, cs_time_us_t now);

/* The version at which the request is sent next if a target of it can be
   chosen; 0: any.  The store may name the version that was recorded for it
   until another one is saved.  */
uint64_t cs_forward_preferred_version (const cs_forward_t *forward,
                                       cs_time_us_t now);

/* Whether the request may be sent to another version than the preferred one:
   not while the current target may still answer and the other version can't be
   saved.  */
bool cs_forward_may_change_version (const cs_forward_t *forward,
                                    cs_time_us_t now);

/* Sends the events, the first ones when the version of the stream is saved: a
   caller takes a stream up only after an event.  */
void cs_forward_flush_events (cs_forward_t *forward);

/* Ends the wait for the stream's version to be saved, since the attempt has
   failed.  The events that are held back are sent, or forgotten if they must
   not be sent unsaved.  */
void cs_forward_end_wait_for_save (cs_forward_t *forward);

/* Callback of the timer of that wait: ends it unless the events must be saved
   first.  */
void cs_forward_check_hold (void *forward, cs_time_us_t now);

/* start_hold.c */

/* Holds the request if the router is starting and can't serve it yet.  Returns
   false if it isn't held.  */
bool cs_forward_hold (cs_forward_t *forward, cs_time_us_t now);

/* Call when the request ends: its caller may have left while it was held.  */
void cs_forward_leave_hold (cs_forward_t *forward, cs_time_us_t now);

/* Callbacks of the connection to the target.  */
extern const cs_connection_handlers_t cs_forward_connection_handlers;

/* Sends the buffered response to the caller and ends the request.  Frees
   FORWARD.  */
void cs_forward_send_buffered (cs_forward_t *forward, cs_time_us_t now);

#endif
