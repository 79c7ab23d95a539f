#include "daemon/limits.h"

#include <pthread.h>
#include <stdlib.h>

#include <uthash.h>

#include "common/hash.h"
#include "cranberrystile/error_response.h"
#include "cranberrystile/rate_limit.h"
#include "cranberrystile/retry.h"

/* The retry budget: retries earned per request, the budget of a router that
   has just started, and the upper bound on what can accumulate while few
   requests fail.  */
#define RETRY_RATIO 0.1
#define INITIAL_RETRY_BUDGET 3.0
#define MAX_RETRY_BUDGET 20.0

typedef struct
{
  cs_name_t organisation;
  cs_rate_limit_t limit;
  UT_hash_handle hh;
} organisation_limit_t;

struct cs_limits
{
  pthread_mutex_t lock; /* guards the members below; leaf lock */
  organisation_limit_t *organisations;
  cs_retry_budget_t budget;
  cs_random_t random;
};

cs_limits_t *
cs_limits_create (void)
{
  cs_limits_t *limits = calloc (1, sizeof *limits);
  if (limits == NULL)
    return NULL;
  pthread_mutex_init (&limits->lock, NULL);
  cs_retry_budget_init (&limits->budget, RETRY_RATIO, INITIAL_RETRY_BUDGET,
                        MAX_RETRY_BUDGET);
  limits->random.seed = cs_clock_now () ^ cs_clock_wall_ms ();
  return limits;
}

void
cs_limits_destroy (cs_limits_t *limits)
{
  organisation_limit_t *entry, *next;
  if (limits == NULL)
    return;
  HASH_ITER (hh, limits->organisations, entry, next)
  {
    HASH_DEL (limits->organisations, entry);
    free (entry);
  }
  pthread_mutex_destroy (&limits->lock);
  free (limits);
}

static organisation_limit_t *
find_or_create_limit (cs_limits_t *limits, const cs_name_t *organisation)
{
  organisation_limit_t *entry = NULL;
  HASH_FIND (hh, limits->organisations, organisation, sizeof *organisation,
             entry);
  if (entry != NULL)
    return entry;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->organisation = *organisation;
  HASH_ADD (hh, limits->organisations, organisation, sizeof *organisation,
            entry);
  return entry;
}

bool
cs_limits_take (cs_limits_t *limits, const cs_organisation_t *organisation,
                cs_time_us_t now, uint32_t *retry_after_s)
{
  bool admitted = true;
  if (organisation->rate == 0)
    return true;
  pthread_mutex_lock (&limits->lock);
  organisation_limit_t *entry
      = find_or_create_limit (limits, &organisation->name);
  if (entry != NULL)
    {
      admitted = cs_rate_limit_take (&entry->limit, organisation->rate,
                                     organisation->burst, now);
      *retry_after_s
          = cs_rate_limit_retry_after_s (&entry->limit, organisation->rate);
    }
  pthread_mutex_unlock (&limits->lock);
  return admitted;
}

void
cs_limits_record_first_attempt (cs_limits_t *limits)
{
  pthread_mutex_lock (&limits->lock);
  cs_retry_budget_first_attempt (&limits->budget);
  pthread_mutex_unlock (&limits->lock);
}

bool
cs_limits_take_retry (cs_limits_t *limits)
{
  pthread_mutex_lock (&limits->lock);
  bool allowed = cs_retry_budget_take (&limits->budget);
  pthread_mutex_unlock (&limits->lock);
  return allowed;
}

uint32_t
cs_limits_jitter (cs_limits_t *limits, uint32_t base_s)
{
  pthread_mutex_lock (&limits->lock);
  uint32_t jittered_s
      = cs_error_response_retry_after_s (base_s, &limits->random);
  pthread_mutex_unlock (&limits->lock);
  return jittered_s;
}
