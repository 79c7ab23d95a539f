/* Admission to a plain service whose targets are busy: decides before a
   request is sent whether it is sent or refused at once.

   Targets work through their calls in order of arrival.  So a request that
   would be answered after its deadline only delays others, and an organisation
   that suddenly sends much more than usual delays all others.  The former are
   refused, and what the latter sends beyond its share while answers come late.
   All others are sent, since a late answer is worth more than a refusal.  */

#ifndef CS_CONTENTION_H
#define CS_CONTENTION_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* Number of organisations whose traffic is counted.  The one with the least
   traffic is forgotten for another one.  */
#define CS_CONTENTION_ORGANISATIONS 64

/* Number of routes whose work times are kept.  The one that was answered the
   longest ago is forgotten for another one.  */
#define CS_CONTENTION_ROUTES 32

/* Decaying counts of the requests of an organisation that were sent.  */
typedef struct
{
  uint64_t key;    /* hash of its name; 0: unused entry */
  double recent;   /* over seconds */
  double usual;    /* over minutes */
  cs_time_us_t at; /* when the counts were last decayed */
} cs_contention_usage_t;

/* Mean time of a call of a route at a target that is as fast as usual and has
   a free slot.  */
typedef struct
{
  uint64_t key; /* hash of its name */
  double work_us;
  cs_time_us_t at; /* last answer; 0: unused entry */
} cs_contention_work_t;

/* State of a service at this router.  Zero-initialise.  */
typedef struct
{
  double work_us; /* as of a route, but of all calls; 0: not known */
  cs_contention_work_t works[CS_CONTENTION_ROUTES];
  cs_time_us_t since; /* first request; 0: none yet */
  cs_contention_usage_t usages[CS_CONTENTION_ORGANISATIONS];
} cs_contention_t;

typedef struct
{
  uint64_t organisation; /* hash of its name; 0: none, which counts as one */
  double urgency;        /* 1: of the most urgent rank, 0: of the least */
  cs_time_us_t remaining_us; /* until its deadline */
  cs_time_us_t objective_us; /* a response within it is on time; 0: none */
  bool is_retry; /* of a request that was admitted; only its deadline counts */
  uint64_t route; /* hash of its name */
} cs_contention_request_t;

/* The chosen target and its service.  */
typedef struct
{
  double expected;      /* time of the request at the target, relative to the
                           usual work */
  double mean_expected; /* likewise at a target with the mean load */
  double mean_calls;    /* in flight at a target */
  double slots;         /* of a target */
  double wait;          /* the part of EXPECTED that is spent behind other
                           calls */
  double mean_wait;     /* likewise, of MEAN_EXPECTED */
} cs_contention_load_t;

typedef enum
{
  CS_CONTENTION_SENT,
  CS_CONTENTION_TOO_LATE,    /* its response would come after its deadline */
  CS_CONTENTION_BEYOND_SHARE /* its organisation sends more than its share, and
                                others would be late */
} cs_contention_verdict_t;

/* What a decision was based on.  */
typedef struct
{
  cs_contention_verdict_t verdict;
  cs_time_us_t expected_us; /* time of the request */
  double recent;            /* requests of its organisation, 0: not counted */
  double share;             /* how many of them are within its share */
} cs_contention_decision_t;

/* Decides on REQUEST, and counts it if it is to be sent.  */
cs_contention_decision_t
cs_contention_decide (cs_contention_t *contention,
                      const cs_contention_request_t *request,
                      const cs_contention_load_t *load, cs_time_us_t now);

/* Returns how long a request of ROUTE was expected to take for which the
   relative time EXPECTED > 0 was estimated, WAIT of it behind other calls; 0
   if none of the route has been answered.  */
double cs_contention_expected_us (const cs_contention_t *contention,
                                  uint64_t route, double expected,
                                  double wait);

/* Such a request was answered with success TOOK_US after it was sent.  */
void cs_contention_record (cs_contention_t *contention, uint64_t route,
                           double expected, double wait, cs_time_us_t took_us,
                           cs_time_us_t now);

/* Returns the name of VERDICT in log lines.  */
const char *cs_contention_verdict_name (cs_contention_verdict_t verdict);

#endif
