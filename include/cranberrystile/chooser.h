/* Selects the target of a request from this router's own view: the loads that
   targets reported with their answers and that other routers reported, plus
   the calls that this router has sent since.  No other router is queried.  */

#ifndef CS_CHOOSER_H
#define CS_CHOOSER_H

#include "cranberrystile/choice_policy.h"
#include "cranberrystile/evacuations.h"
#include "cranberrystile/fleet.h"
#include "cranberrystile/prompt_context.h"
#include "cranberrystile/routing.h"

/* Maximum number of targets that one request can exclude.  */
#define CS_CHOICE_MAX_AVOIDED 4

/* A home is one of the highest ranked targets for a context, where the context
   is expected to be cached.  */
typedef enum
{
  CS_CHOICE_HOME,         /* a home below its load limit */
  CS_CHOICE_SPILL,        /* every home is over its limit or failing */
  CS_CHOICE_LEAST_LOADED, /* no context: the less loaded of two */
  CS_CHOICE_LAST_RESORT   /* all remaining targets are ejected */
} cs_choice_reason_t;

typedef struct
{
  cs_str_t service;
  cs_str_t data_centre;               /* of this router */
  const cs_prompt_context_t *context; /* NULL: none */
  bool prefer_local; /* use the local data centre's targets if there are any:
                        set after a failed connection, when data centres may
                        be cut off from each other */
  uint64_t version;  /* of the targets' software, see cs_target_t; 0: any */
  bool is_plain;     /* SERVICE is no engine: work there takes as long with few
                        calls as with as many as there are slots */
  bool estimates_time; /* at a plain service, also if TARGET doesn't state how
                          slow it is */
  bool at_most_once;   /* a failed call is not retried at another target */
  uint64_t organisation; /* hash of its name; 0: none */
  uint64_t route;        /* hash of its name; 0: none */
  bool can_fetch;        /* targets can copy cached context from each other */
  size_t peers;          /* other routers, assumed to have as many callers */
  double routers;        /* all of them, by whom the limits that targets name
                            are shared */
  const cs_evacuations_t *evacuations;   /* data centres that get nothing;
                                            NULL: none */
  const cs_setting_pairs_t *regions;     /* of data centres */
  const cs_region_list_t *route_regions; /* to which the request is restricted
                                            by its route; NULL: none */
  const cs_region_list_t *organisation_regions; /* likewise */
  const cs_target_t *avoid[CS_CHOICE_MAX_AVOIDED];
  uint32_t avoid_count;
} cs_choice_request_t;

typedef struct
{
  cs_target_t *target; /* borrowed; NULL: the service has no usable target */
  cs_target_t *source; /* borrowed; another target that probably holds the
                          context that TARGET lacks; NULL: none */
  cs_choice_reason_t reason;
  uint32_t load;        /* estimated load of TARGET before this request */
  double mean;          /* estimated mean load of the eligible targets */
  double mean_calls;    /* likewise, whatever their weights */
  uint32_t live;        /* number of eligible targets */
  double expected;      /* time of the request at TARGET, relative to the
                           usual work; 0: the service isn't plain, TARGET
                           doesn't state its slots, or it doesn't state
                           how slow it is and no estimate was asked for */
  double wait;          /* the part of EXPECTED spent behind other calls */
  double mean_expected; /* likewise, mean of the eligible targets */
  double mean_wait;     /* the part of it spent behind other calls */
  double mean_slots;    /* with EXPECTED: of the eligible targets whose
                           slots are known */
  uint32_t own;         /* calls of this router at these targets */
  cs_time_us_t available_at; /* with CS_ERR_OVERLOADED: when the first target
                                takes a request */
  bool avoided_cold; /* a cold target had as many requests as it takes from
                        this router */
  bool is_evacuated; /* with CS_ERR_NO_TARGET: the service has targets in
                        evacuated data centres */
} cs_choice_t;

typedef struct cs_chooser cs_chooser_t;

/* SEED seeds the random choices.  Returns NULL if memory is exhausted.  */
cs_chooser_t *cs_chooser_create (const cs_choice_policy_t *policy,
                                 uint64_t seed);
void cs_chooser_destroy (cs_chooser_t *chooser);

/* Selects a target for REQUEST and writes the choice to OUT.  The call is not
   counted at the target; the caller does that.  Returns 0, CS_ERR_NO_TARGET,
   CS_ERR_NO_MEMORY, or CS_ERR_OVERLOADED if all usable targets have asked for
   a pause or got as many requests as they take.  */
int cs_chooser_choose (cs_chooser_t *chooser, const cs_fleet_t *fleet,
                       const cs_choice_request_t *request, cs_time_us_t now,
                       cs_choice_t *out);

/* Returns the name that request logs use.  */
const char *cs_choice_reason_name (cs_choice_reason_t reason);

#endif
