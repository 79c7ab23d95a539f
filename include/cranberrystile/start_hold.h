/* Requests that a router holds while it starts, until it knows what it needs
   to serve them.  Decides which are held, until when, and in which order they
   run.  */

#ifndef CS_START_HOLD_H
#define CS_START_HOLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

/* Requests that are held at a time.  */
#define CS_START_HOLD_MAX 256U

/* A request that may be held, embedded in the owner's state.  */
typedef struct cs_held_request
{
  void *owner;
  cs_time_us_t arrived_at;
  cs_time_us_t caller_us; /* time that the caller gave; 0: not stated */
  size_t body_bytes;
  /* The rest is set by the functions below.  */
  bool is_held;
  cs_time_us_t until;
  uint32_t rank;
  struct cs_held_request *prev;
  struct cs_held_request *next;
} cs_held_request_t;

/* Returns the rank of REQUEST, 0 is the most urgent.  */
typedef uint32_t cs_start_hold_rank_fn (const cs_held_request_t *request);

typedef enum
{
  CS_START_LEARNING, /* the router doesn't know enough to serve requests */
  CS_START_READY,
  CS_START_STOPPING
} cs_start_phase_t;

typedef enum
{
  CS_START_HOLD_RUN,
  CS_START_HOLD_REFUSE
} cs_start_hold_verdict_t;

typedef struct
{
  cs_time_us_t ends_at; /* nothing is held from then on */
  size_t max_bytes;     /* of the bodies together */
  cs_start_hold_rank_fn *rank_of;
  cs_held_request_t *requests; /* in order of arrival, until they are ranked */
  uint32_t count;
  size_t bytes;
  bool is_ranked;
} cs_start_hold_t;

/* STARTED_AT is the start of the process; LIMIT_US of 0: nothing is held.
   RANK_OF is called when the router has become ready.  */
void cs_start_hold_init (cs_start_hold_t *hold, cs_time_us_t started_at,
                         cs_time_us_t limit_us, double memory_bytes,
                         cs_start_hold_rank_fn *rank_of);

/* Holds REQUEST, for a router that is learning.  Returns 0, CS_ERR_NOT_READY
   if its time is over, or CS_ERR_OVERLOADED if too much is held.  */
int cs_start_hold_add (cs_start_hold_t *hold, cs_held_request_t *request,
                       cs_time_us_t now);

/* Removes REQUEST, whose caller has left, if it is held.  Returns whether it
   was.  */
bool cs_start_hold_remove (cs_start_hold_t *hold, cs_held_request_t *request);

/* Removes and returns the next request that is to be run or refused, or NULL
   if there is none at this time.  Call it again until it returns NULL.  */
cs_held_request_t *cs_start_hold_next (cs_start_hold_t *hold,
                                       cs_start_phase_t phase,
                                       cs_time_us_t now,
                                       cs_start_hold_verdict_t *verdict);

/* Whether nothing is held, and nothing will be.  */
bool cs_start_hold_is_over (const cs_start_hold_t *hold,
                            cs_start_phase_t phase, cs_time_us_t now);

#endif
