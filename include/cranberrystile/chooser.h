/* Chooses the target of a call from this router's own view: what targets told
   with their answers, and its own calls since.  No router is asked.  */

#ifndef CS_CHOOSER_H
#define CS_CHOOSER_H

#include "cranberrystile/fleet.h"
#include "cranberrystile/prompt_context.h"
#include "cranberrystile/routing.h"

/* Targets that one request may have been sent to before.  */
#define CS_CHOICE_MAX_AVOIDED 4

typedef enum
{
  CS_CHOICE_HOME,         /* where the context is kept */
  CS_CHOICE_SPILL,        /* the homes are over their threshold */
  CS_CHOICE_LEAST_LOADED, /* no context: the less loaded of two */
  CS_CHOICE_LAST_RESORT   /* only ejected or tried targets are left */
} cs_choice_reason_t;

typedef struct
{
  double home_factor; /* a home is used up to this times the mean load */
  double home_extra;  /* plus this many calls */
  double home_max_slot_share; /* but, unless all are as busy, up to this part
                        of its slots */
  uint32_t homes;          /* ranked targets that share a context when hot */
  uint32_t remote_penalty; /* calls by which a target of another data centre
                           must be less loaded to be preferred */
  double failure_penalty_once; /* calls that a target which fails all counts as
                       busier, for work that may not be repeated */
  double failure_penalty_repeatable; /* the same for work that may */
  double home_max_failing_share; /* a home is passed over for work that may not
                            be repeated when so large a share fails */
} cs_choice_policy_t;

cs_choice_policy_t cs_choice_policy_default (void);

typedef struct
{
  cs_str_t service;
  cs_str_t data_centre; /* of this router */
  const cs_prompt_context_t *context;
  bool prefer_local; /* a connection failed: data centres may be cut off from
                      each other, so the own one's targets come first */
  bool at_most_once; /* a failure is not repeated elsewhere */
  bool can_fetch;    /* targets copy kept context from each other */
  const cs_target_t *avoid[CS_CHOICE_MAX_AVOIDED];
  uint32_t avoid_count;
} cs_choice_request_t;

typedef struct
{
  cs_target_t *target; /* NULL: the service has no target */
  cs_target_t *source; /* another one that is likely to hold the context which
                          TARGET lacks; NULL: none */
  cs_choice_reason_t why;
  uint32_t load; /* estimate for the target */
  double mean;   /* of the service */
  uint32_t live; /* targets that could be chosen */
} cs_choice_t;

typedef struct cs_chooser cs_chooser_t;

cs_chooser_t *cs_chooser_create (const cs_choice_policy_t *policy,
                                 uint64_t seed);
void cs_chooser_destroy (cs_chooser_t *chooser);

/* Returns 0, or CS_ERR_NO_TARGET, or CS_ERR_NO_MEMORY.  */
int cs_chooser_choose (cs_chooser_t *chooser, const cs_fleet_t *fleet,
                       const cs_choice_request_t *ask, cs_time_us_t now,
                       cs_choice_t *out);

const char *cs_choice_reason_name (cs_choice_reason_t why);

#endif
