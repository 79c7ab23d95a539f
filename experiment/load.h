/* Who asks for what and when: kinds of requests, and the patterns that loads
   follow.  */

#ifndef CS_EXPERIMENT_LOAD_H
#define CS_EXPERIMENT_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "common/hash.h"
#include "engine.h"

#define KINDS_MOST 4
#define ORGANISATIONS 10

typedef struct
{
  const char *name;
  double per_s;
  uint32_t contexts; /* different shared prompts */
  uint32_t shared;   /* tokens of one */
  uint32_t own;      /* tokens that the request has alone */
  uint32_t output;   /* tokens to make, at the mean */
  uint32_t event;    /* tokens that reach the caller together */
  uint32_t aim_ms;   /* to the first event */
  uint32_t pause_ms; /* between events, at most */
  uint32_t limit_ms; /* the caller leaves */
  double worth;
  double worth_late;
  uint32_t priority; /* 0 is the most urgent */
} kind_t;

typedef struct
{
  const char *name;
  uint32_t engines;
  uint32_t routers;
  engine_setup_t engine;
  kind_t kinds[KINDS_MOST];
  uint32_t kind_count;
} installation_t;

/* Returns NULL when there is none at AT; they are numbered from 0.  */
const installation_t *installation_at (size_t at);
const installation_t *installation_find (const char *name);

/* What happens between PATTERN_FROM_US and PATTERN_TO_US.  */
typedef enum
{
  PATTERN_CALM,
  PATTERN_BURST,       /* of one kind, five times as many */
  PATTERN_HOT_CONTEXT, /* half of the requests of a kind share one context */
  PATTERN_HOT_ORGANISATION, /* sends ten times as much */
  PATTERN_LONG_PROMPTS,     /* half as many again, twice as long */
  PATTERN_HALF_LOST,        /* half of the engines crash and come back empty */
  PATTERN_COLD_JOIN,        /* a third more engines come, empty */
  PATTERN_PRESSING, /* half as many again, and who is refused asks again at
                       once */
  PATTERN_COUNT
} pattern_t;

#define PATTERN_FROM_US (20 * CS_US_PER_S)
#define PATTERN_TO_US (40 * CS_US_PER_S)

const char *pattern_name (pattern_t pattern);

static inline bool
pattern_is_on (cs_time_us_t now)
{
  return now >= PATTERN_FROM_US && now < PATTERN_TO_US;
}

typedef struct
{
  const installation_t *installation;
  pattern_t pattern;
  double scale;        /* of all rates */
  bool has_priorities; /* engines are told which kinds are urgent */
  cs_random_t random;
} load_t;

/* Time until the next request of KIND.  */
cs_time_us_t load_next_us (load_t *load, uint32_t kind, cs_time_us_t now);

/* Draws a request of KIND; its id is left to the caller.  */
void load_draw (load_t *load, uint32_t kind, cs_time_us_t now,
                engine_request_t *out);

#endif
