/* Counters and latency histograms of the daemon, and their Prometheus text
   format.  All functions are thread-safe; updates are lock-free.  */

#ifndef CS_COUNTERS_H
#define CS_COUNTERS_H

#include <stdatomic.h>
#include <stdint.h>

#include "common/clock.h"
#include "common/error.h"
#include "common/str.h"

/* X (symbol, metric name, help text)  */
#define CS_COUNTER_LIST(X)                                                    \
  X (REQUESTS, "requests_total", "Requests from callers")                     \
  X (STREAMS, "streams_total", "Streamed answers begun")                      \
  X (TRIES, "target_tries_total", "Calls sent to targets, retries included")  \
  X (RETRIES, "target_retries_total",                                         \
     "Calls sent to targets after a failure")                                 \
  X (RESUMES, "stream_resumes_total", "Cut streams that were taken up again") \
  X (HANDOVERS, "handovers_total", "Requests handed to another data centre")  \
  X (CANCELS, "cancelled_total", "Calls ended because the caller had gone")   \
  X (PROMPT_TOKENS, "prompt_tokens_total", "Prompt tokens, from usage")       \
  X (CACHED_TOKENS, "cached_prompt_tokens_total",                             \
     "Prompt tokens found in an engine's cache, from usage")                  \
  X (WRONG_ANSWERS, "wrong_answers_total",                                    \
     "Answers thrown away since their request id was not ours")               \
  X (ASKS, "placement_asks_total", "Asks sent to pool owners")                \
  X (GRANTS, "placement_grants_total", "Asks granted as owner")               \
  X (REFUSALS, "placement_refusals_total", "Asks refused as owner")           \
  X (FIRST_CHOICE, "placement_first_choice_total",                            \
     "Grants on the first ranked target")                                     \
  X (PEER_BYTES_IN, "peer_received_bytes_total", "Bytes received from peers") \
  X (PEER_BYTES_OUT, "peer_sent_bytes_total", "Bytes sent to peers")          \
  X (PEER_BAD_FRAMES, "peer_bad_frames_total", "Peer frames refused")         \
  X (PLATFORM_CALLS, "platform_calls_total", "Calls of the platform")         \
  X (PLATFORM_FAILURES, "platform_failures_total",                            \
     "Calls of the platform that failed")                                     \
  X (PLATFORM_BYTES, "platform_bytes_total",                                  \
     "Bytes exchanged with the platform")                                     \
  X (POLLS, "target_polls_total", "Load polls of targets")                    \
  X (POLL_BYTES, "target_poll_bytes_total", "Bytes of load polls")            \
  X (CLAIMS, "claims_total", "Claims created")                                \
  X (CLAIM_REPEATS, "claim_repeats_total",                                    \
     "Requests answered from an earlier claim")                               \
  X (ORDERS, "orders_total", "Orders sent to engines")

typedef enum
{
#define CS_COUNTER_ENUM(symbol, name, help) CS_COUNTER_##symbol,
  CS_COUNTER_LIST (CS_COUNTER_ENUM)
#undef CS_COUNTER_ENUM
      CS_COUNTER_COUNT
} cs_counter_t;

typedef enum
{
  CS_HISTOGRAM_ROUTER, /* from arrival until the call is sent to a target */
  CS_HISTOGRAM_FIRST_BYTE, /* from arrival to the first byte of the answer */
  CS_HISTOGRAM_ANSWER,     /* from arrival to the end of the answer */
  CS_HISTOGRAM_COUNT
} cs_histogram_t;

#define CS_BUCKET_COUNT 14

typedef struct cs_counters cs_counters_t;

/* Returns NULL if memory is exhausted.  */
cs_counters_t *cs_counters_create (void);
void cs_counters_destroy (cs_counters_t *counters);

void cs_counters_add (cs_counters_t *counters, cs_counter_t counter,
                      uint64_t amount);
uint64_t cs_counters_get (const cs_counters_t *counters, cs_counter_t counter);

/* Counts an answer to a caller under ERROR: CS_OK or a negative error code.
   Unknown codes count as CS_ERR_INTERNAL.  */
void cs_counters_add_answer (cs_counters_t *counters, int error);
uint64_t cs_counters_get_answers (const cs_counters_t *counters, int error);
void cs_counters_observe (cs_counters_t *counters, cs_histogram_t histogram,
                          cs_time_us_t duration);

/* Appends all metrics to OUT in the Prometheus text format.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_counters_print (const cs_counters_t *counters, cs_buf_t *out);

#endif
