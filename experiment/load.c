#include "load.h"

#include <math.h>
#include <string.h>

#define BURST_FACTOR 5
#define HOT_CONTEXT_SHARE 0.5
#define HOT_ORGANISATION_FACTOR 10.0
#define LONG_PROMPTS_RATE_FACTOR 1.5
#define LONG_PROMPTS_TOKEN_FACTOR 2
#define PRESSING_RATE_FACTOR 1.5
/* The popularity of the nth context is proportional to n to the power of minus
   this, as that of prompts in published traces of multi-turn chats.  */
#define POPULARITY_EXPONENT 0.8
/* Fraction of a context that is a prefix common to all contexts of a kind.  */
#define COMMON_ROOT_SHARE 0.1

/* Sizes as described by the project's users.  The values that they don't give
   (step_growth, prefill_chunk, max_queued, context_count) are assumptions.  */
static const installation_t installations[] = {
  {
      .name = "desk",
      .engines = 18,
      .routers = 8,
      .engine = { 64, 16, 573899, 2770, 1.0, 85.2, 512, 200 },
      .kinds = { { "confirm", 31.6, 60, 10512, 1300, 385, 7, 600, 300, 12000,
                   7.2, 0.72, 0 },
                 { "ask", 87.1, 60, 699, 130, 294, 7, 600, 300, 10000, 0.87,
                   0.087, 1 },
                 { "tag", 57, 60, 2041, 360, 21, 7, 1000, 300, 2500, 0.43,
                   0.043, 2 } },
      .kind_count = 3,
  },
  {
      .name = "grown",
      .engines = 60,
      .routers = 72,
      .engine = { 48, 16, 304303, 2770, 1.0, 85.2, 512, 200 },
      .kinds = { { "confirm", 133, 200, 10512, 1300, 380, 10, 600, 400, 12000,
                   6.8, 0.68, 0 },
                 { "ask", 328, 200, 699, 130, 290, 10, 600, 400, 10000, 0.91,
                   0.091, 1 },
                 { "tag", 244, 200, 2041, 360, 20, 10, 1200, 400, 2500, 0.4,
                   0.04, 2 } },
      .kind_count = 3,
  },
};

#define INSTALLATION_COUNT (sizeof installations / sizeof installations[0])

static const char *const pattern_names[PATTERN_COUNT]
    = { "calm",         "burst",     "hot-context", "hot-organisation",
        "long-prompts", "half-lost", "cold-join",   "pressing" };

const installation_t *
installation_at (size_t at)
{
  return at < INSTALLATION_COUNT ? &installations[at] : NULL;
}

const installation_t *
installation_find (const char *name)
{
  for (size_t i = 0; i < INSTALLATION_COUNT; i++)
    if (strcmp (installations[i].name, name) == 0)
      return &installations[i];
  return NULL;
}

const char *
pattern_name (pattern_t pattern)
{
  return pattern_names[pattern];
}

/* Returns the kind that a pattern changes: the most frequent one for a burst,
   otherwise the one with the longest prompts.  */
static uint32_t
affected_kind (const load_t *load)
{
  const installation_t *installation = load->installation;
  uint32_t affected = 0;
  for (uint32_t i = 1; i < installation->kind_count; i++)
    {
      const request_kind_t *a = &installation->kinds[i];
      const request_kind_t *b = &installation->kinds[affected];
      if (load->pattern == PATTERN_BURST ? a->rate_per_s > b->rate_per_s
                                         : a->shared_tokens > b->shared_tokens)
        affected = i;
    }
  return affected;
}

static double
rate_factor (const load_t *load, uint32_t kind, cs_time_us_t now)
{
  if (!pattern_is_active (now))
    return 1;
  switch (load->pattern)
    {
    case PATTERN_BURST:
      return kind == affected_kind (load) ? BURST_FACTOR : 1;
    case PATTERN_HOT_ORGANISATION:
      return 1 + (HOT_ORGANISATION_FACTOR - 1) / ORGANISATIONS;
    case PATTERN_LONG_PROMPTS:
      return kind == affected_kind (load) ? LONG_PROMPTS_RATE_FACTOR : 1;
    case PATTERN_PRESSING:
      return PRESSING_RATE_FACTOR;
    default:
      return 1;
    }
}

cs_time_us_t
load_next_arrival_us (load_t *load, uint32_t kind, cs_time_us_t now)
{
  double rate_per_s = load->installation->kinds[kind].rate_per_s * load->scale
                      * rate_factor (load, kind, now);
  return (cs_time_us_t)cs_random_exponential (&load->random,
                                              CS_US_PER_S / rate_per_s);
}

/* Draws a context by popularity, by inverting the continuous power law.  */
static uint32_t
draw_context (load_t *load, uint32_t count)
{
  double power = 1 - POPULARITY_EXPONENT;
  double upper = pow (count, power);
  double unit = cs_random_unit (&load->random);
  double at = pow (1 + unit * (upper - 1), 1 / power);
  uint32_t context = (uint32_t)at - 1;
  return context < count ? context : count - 1;
}

static uint32_t
pick_context (load_t *load, uint32_t kind, cs_time_us_t now)
{
  const request_kind_t *parameters = &load->installation->kinds[kind];
  uint32_t context = draw_context (load, parameters->context_count);
  double unit = cs_random_unit (&load->random);
  if (!pattern_is_active (now))
    return context;
  if (load->pattern == PATTERN_HOT_CONTEXT && kind == affected_kind (load)
      && unit < HOT_CONTEXT_SHARE)
    return 0;
  /* Contexts are assigned to organisations round-robin.  */
  double extra = (HOT_ORGANISATION_FACTOR - 1) / ORGANISATIONS;
  if (load->pattern == PATTERN_HOT_ORGANISATION && unit < extra / (1 + extra))
    return context - context % ORGANISATIONS;
  return context;
}

void
load_draw_request (load_t *load, uint32_t kind, cs_time_us_t now,
                   engine_request_t *out)
{
  const request_kind_t *parameters = &load->installation->kinds[kind];
  uint32_t context = pick_context (load, kind, now);
  uint32_t shared_tokens = parameters->shared_tokens;
  uint32_t own_tokens = parameters->own_tokens;
  if (load->pattern == PATTERN_LONG_PROMPTS && pattern_is_active (now)
      && kind == affected_kind (load))
    own_tokens *= LONG_PROMPTS_TOKEN_FACTOR;
  uint32_t root = (uint32_t)(shared_tokens * COMMON_ROOT_SHARE);
  *out = (engine_request_t){ 0 };
  out->context.count = 2;
  out->context.tokens[0] = root;
  out->context.tokens[1] = shared_tokens - root;
  out->context.chain[0] = cs_hash_pair (kind + 1, 0);
  out->context.chain[1] = cs_hash_pair (kind + 1, context + 1);
  /* Uniform between 0.5 and 1.5 times the mean.  */
  double spread = 0.5 + cs_random_unit (&load->random);
  out->context.own_tokens = (uint32_t)(own_tokens * spread) + 1;
  out->output = (uint32_t)(parameters->output * spread) + 1;
  out->priority = load->has_priorities ? parameters->priority : 0;
}
