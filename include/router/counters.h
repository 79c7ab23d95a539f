/* Counters and latency histograms of a router, as Prometheus metrics.  */

#ifndef CS_ROUTER_COUNTERS_H
#define CS_ROUTER_COUNTERS_H

#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/str.h"

/* X (name, help).  NAME is part of the metric's name.  */
#define CS_COUNTER_LIST(X)                                                    \
  X (connections, "caller connections accepted")                              \
  X (requests, "requests read")                                               \
  X (answers_passed, "answers of targets passed on whole")                    \
  X (callers_gone, "callers that left before their answer")                   \
  X (attempts, "requests sent to targets")                                    \
  X (repeats, "attempts beyond the first of a request")                       \
  X (repeats_denied, "repeats that the budget did not allow")                 \
  X (refused_evacuated,                                                       \
     "requests refused as only evacuated targets were left")                  \
  X (refused_regions,                                                         \
     "restricted requests without a target in their regions")                 \
  X (streams_resumed, "cut streams taken up at another target")               \
  X (streams_not_recorded, "streams whose version could not be kept")         \
  X (streams_refused, "taken up streams of an unknown version")               \
  X (streams_cut, "streams that ended before their end")                      \
  X (connects, "connections opened to targets")                               \
  X (connects_failed, "connections to targets that could not be opened")      \
  X (wrong_answers, "answers of targets that could not be used")              \
  X (invalid_responses, "responses of targets that broke the protocol")       \
  X (stale_answers, "answers of earlier requests that were dropped")          \
  X (cold_avoided, "choices without a cold target that has had enough")       \
  X (cold_sent, "requests sent to cold targets")                              \
  X (load_parts_ignored, "loads of targets of which a part was left out")     \
  X (refused_too_late, "calls refused as their answers would be too late")    \
  X (refused_beyond_share, "calls refused as beyond a share of busy targets") \
  X (start_held, "requests held while the router started")                    \
  X (start_run, "held requests that were run")                                \
  X (start_refused, "held requests that were refused")                        \
  X (start_left, "held requests whose callers left")                          \
  X (start_beyond, "requests not held as too much was held")                  \
  X (store_calls, "calls to the platform")                                    \
  X (store_failures, "calls to the platform that failed")                     \
  X (parts_not_reported, "parts of prompts that a report had no room for")    \
  X (names_too_long, "entries of the store ignored for a name's length")      \
  X (directory_lists, "lists of routers read")                                \
  X (log_lines_dropped, "log lines dropped")

typedef struct
{
#define CS_COUNTER_FIELD(name, help) uint64_t name;
  CS_COUNTER_LIST (CS_COUNTER_FIELD)
#undef CS_COUNTER_FIELD
  uint64_t failed[CS_ERROR_COUNT]; /* failed requests, indexed by negated error
                                      code */
} cs_router_counters_t;

/* The upper bounds of the buckets are 1 ms, 2 ms, 4 ms and so on; the last
   bucket has none.  */
#define CS_LATENCY_BUCKETS 16

typedef struct
{
  uint64_t buckets[CS_LATENCY_BUCKETS]; /* counts, not cumulative */
  uint64_t count;
  cs_time_us_t sum_us;
} cs_latency_t;

void cs_latency_add (cs_latency_t *latency, cs_time_us_t value_us);

/* Both append metrics in the Prometheus text format to OUT.  Return 0 or
   CS_ERR_NO_MEMORY.  */
int cs_router_counters_print (const cs_router_counters_t *counters,
                              cs_buf_t *out);
int cs_latency_print (const cs_latency_t *latency, const char *name,
                      cs_buf_t *out);

#endif
