#include "load.h"

#include <math.h>
#include <string.h>

#define BURST_FACTOR 5
#define HOT_SHARE 0.5
#define HOT_ORGANISATION_FACTOR 10.0
#define LONG_FACTOR 1.5
#define LONG_TOKENS 2
#define PRESSING_FACTOR 1.5
/* Popularity of the nth context falls as n to this power, as prompts' does in
   published traces of returning chats.  */
#define POPULARITY_POWER 0.8
/* Part of a context that all contexts of a kind begin with.  */
#define ROOT_SHARE 0.1

/* The sizes that the project's users describe; what they leave open (growth of
   a step, chunk, queue, contexts) is assumed.  */
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

/* The kind that a pattern is about: of most requests for a burst, of the
   longest prompts otherwise.  */
static uint32_t
kind_in_focus (const load_t *load)
{
  const installation_t *installation = load->installation;
  uint32_t focus = 0;
  for (uint32_t i = 1; i < installation->kind_count; i++)
    {
      const kind_t *a = &installation->kinds[i];
      const kind_t *b = &installation->kinds[focus];
      if (load->pattern == PATTERN_BURST ? a->per_s > b->per_s
                                         : a->shared > b->shared)
        focus = i;
    }
  return focus;
}

static double
rate_factor (const load_t *load, uint32_t kind, cs_time_us_t now)
{
  if (!pattern_is_on (now))
    return 1;
  switch (load->pattern)
    {
    case PATTERN_BURST:
      return kind == kind_in_focus (load) ? BURST_FACTOR : 1;
    case PATTERN_HOT_ORGANISATION:
      return 1 + (HOT_ORGANISATION_FACTOR - 1) / ORGANISATIONS;
    case PATTERN_LONG_PROMPTS:
      return kind == kind_in_focus (load) ? LONG_FACTOR : 1;
    case PATTERN_PRESSING:
      return PRESSING_FACTOR;
    default:
      return 1;
    }
}

cs_time_us_t
load_next_us (load_t *load, uint32_t kind, cs_time_us_t now)
{
  double per_s = load->installation->kinds[kind].per_s * load->scale
                 * rate_factor (load, kind, now);
  return (cs_time_us_t)cs_random_exponential (&load->random,
                                              CS_US_PER_S / per_s);
}

/* A context by its popularity, by inversion of the continuous law.  */
static uint32_t
draw_context (load_t *load, uint32_t count)
{
  double power = 1 - POPULARITY_POWER;
  double most = pow (count, power);
  double unit = cs_random_unit (&load->random);
  double at = pow (1 + unit * (most - 1), 1 / power);
  uint32_t context = (uint32_t)at - 1;
  return context < count ? context : count - 1;
}

static uint32_t
pick_context (load_t *load, uint32_t kind, cs_time_us_t now)
{
  const kind_t *row = &load->installation->kinds[kind];
  uint32_t context = draw_context (load, row->contexts);
  double unit = cs_random_unit (&load->random);
  if (!pattern_is_on (now))
    return context;
  if (load->pattern == PATTERN_HOT_CONTEXT && kind == kind_in_focus (load)
      && unit < HOT_SHARE)
    return 0;
  /* Contexts belong to organisations in turn.  */
  double extra = (HOT_ORGANISATION_FACTOR - 1) / ORGANISATIONS;
  if (load->pattern == PATTERN_HOT_ORGANISATION && unit < extra / (1 + extra))
    return context - context % ORGANISATIONS;
  return context;
}

void
load_draw (load_t *load, uint32_t kind, cs_time_us_t now,
           engine_request_t *out)
{
  const kind_t *row = &load->installation->kinds[kind];
  uint32_t context = pick_context (load, kind, now);
  uint32_t shared = row->shared;
  uint32_t own = row->own;
  if (load->pattern == PATTERN_LONG_PROMPTS && pattern_is_on (now)
      && kind == kind_in_focus (load))
    own *= LONG_TOKENS;
  uint32_t root = (uint32_t)(shared * ROOT_SHARE);
  *out = (engine_request_t){ 0 };
  out->context.count = 2;
  out->context.tokens[0] = root;
  out->context.tokens[1] = shared - root;
  out->context.chain[0] = cs_hash_pair (kind + 1, 0);
  out->context.chain[1] = cs_hash_pair (kind + 1, context + 1);
  /* Between half and one and a half times the mean.  */
  double spread = 0.5 + cs_random_unit (&load->random);
  out->context.own_tokens = (uint32_t)(own * spread) + 1;
  out->output = (uint32_t)(row->output * spread) + 1;
  out->priority = load->has_priorities ? row->priority : 0;
}
