/* Load generator: kinds of requests, and patterns of load over time.  */

#ifndef CS_EXPERIMENT_LOAD_H
#define CS_EXPERIMENT_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/hash.h"
#include "engine.h"

#define MAX_KINDS 4
#define ORGANISATIONS 10

typedef struct
{
  const char *name;
  double rate_per_s;
  uint32_t context_count;      /* number of shared prompts */
  uint32_t shared_tokens;      /* length of a shared prompt */
  uint32_t own_tokens;         /* mean number of unshared prompt tokens */
  uint32_t output;             /* mean number of tokens to generate */
  uint32_t tokens_per_event;   /* tokens per streamed event */
  uint32_t first_event_slo_ms; /* from arrival to the first event */
  uint32_t gap_slo_ms;         /* longest gap between events */
  uint32_t client_timeout_ms;  /* the client disconnects after this */
  double reward;
  double late_reward;
  uint32_t priority; /* 0 is the most urgent */
} request_kind_t;

typedef struct
{
  const char *name;
  uint32_t engines;
  uint32_t routers;
  engine_setup_t engine;
  request_kind_t kinds[MAX_KINDS];
  uint32_t kind_count;
} installation_t;

/* Returns the installation at index AT, or NULL past the last one.  */
const installation_t *installation_at (size_t at);
const installation_t *installation_find (const char *name);

/* How the load or the engines change between PATTERN_START_US and
   PATTERN_END_US.  */
typedef enum
{
  PATTERN_CALM,
  PATTERN_BURST,       /* five times as many requests of one kind */
  PATTERN_HOT_CONTEXT, /* half of the requests of one kind share a context */
  PATTERN_HOT_ORGANISATION, /* one organisation sends ten times as much */
  PATTERN_LONG_PROMPTS, /* one kind at 1.5 times the rate, with twice as many
                           unshared prompt tokens */
  PATTERN_HALF_LOST,    /* half of the engines crash, and restart with empty
                           caches */
  PATTERN_COLD_JOIN,    /* a third more engines join, with empty caches */
  PATTERN_PRESSING,     /* 1.5 times the rate, and refused clients retry
                           immediately */
  PATTERN_COUNT
} pattern_t;

#define PATTERN_START_US (20 * CS_US_PER_S)
#define PATTERN_END_US (40 * CS_US_PER_S)

const char *pattern_name (pattern_t pattern);

static inline bool
pattern_is_active (cs_time_us_t now)
{
  return now >= PATTERN_START_US && now < PATTERN_END_US;
}

typedef struct
{
  const installation_t *installation;
  pattern_t pattern;
  double scale;        /* factor on all rates */
  bool has_priorities; /* engines receive the kinds' priorities */
  cs_random_t random;
} load_t;

/* Returns the time until the next request of KIND.  */
cs_time_us_t load_next_arrival_us (load_t *load, uint32_t kind,
                                   cs_time_us_t now);

/* Draws a random request of KIND.  The caller sets its id.  */
void load_draw_request (load_t *load, uint32_t kind, cs_time_us_t now,
                        engine_request_t *out);

#endif
