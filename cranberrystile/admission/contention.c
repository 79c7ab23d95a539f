#include "cranberrystile/contention.h"

#include <math.h>
#include <string.h>

/* Weight of one call in a mean work time: over some tens of calls, the
   spread of single calls evens out.  */
#define WORK_WEIGHT 0.02

/* Time constants of the counts of an organisation's requests.  The short one
   covers a few requests of each of some tens of organisations at one of some
   tens of routers; 2 s took more chance for surges.  The long one outlasts a
   surge.  */
#define RECENT_US (5 * CS_US_PER_S)
#define USUAL_US (120 * CS_US_PER_S)

/* Before this time, the usual traffic isn't known well enough for a
   decision.  */
#define LEARNING_US (10 * CS_US_PER_S)

/* An organisation's share is this many times its usual traffic, as traffic
   varies by itself, and some requests more, as small counts are chance.  With
   2 and 3, a surge cost the others twice as much (docs/design/contention.md).
 */
#define SHARE_FACTOR 1.5
#define SHARE_MARGIN 3.0

/* Targets with fewer calls per slot than this refuse nothing.  */
#define BUSY_SLOT_SHARE 0.5

/* How much of a target's difference from the mean is assumed to be left: loads
   are known as they were some tenths of a second ago.  */
#define DIFFERENCE_LEFT 0.5

static void
decay (cs_contention_usage_t *usage, cs_time_us_t now)
{
  if (now <= usage->at)
    return;
  double age = (double)(now - usage->at);
  usage->recent *= exp (-age / (double)RECENT_US);
  usage->usual *= exp (-age / (double)USUAL_US);
  usage->at = now;
}

/* Returns the entry of KEY, which replaces the one with the least traffic if
   there is none.  */
static cs_contention_usage_t *
find_usage (cs_contention_t *contention, uint64_t key, cs_time_us_t now)
{
  cs_contention_usage_t *least = &contention->usages[0];
  for (int i = 0; i < CS_CONTENTION_ORGANISATIONS; i++)
    {
      cs_contention_usage_t *usage = &contention->usages[i];
      if (usage->key == key)
        return usage;
      decay (usage, now);
      if (usage->key == 0 || (least->key != 0 && usage->usual < least->usual))
        least = usage;
    }
  *least = (cs_contention_usage_t){ .key = key, .at = now };
  return least;
}

/* Returns the usual count of requests within RECENT_US of an organisation with
   USUAL requests.  */
static double
usual_recent (const cs_contention_t *contention, double usual,
              cs_time_us_t now)
{
  /* The counts cover only the time since the first request.  */
  double covered
      = -expm1 (-(double)(now - contention->since) / (double)USUAL_US);
  return usual * (double)RECENT_US / ((double)USUAL_US * covered);
}

/* Returns how many recent requests are within the share of the organisation of
   USAGE: by its usual traffic, or by the mean of the organisations if that is
   more.  If the others send more than usual too, so may this one.  */
static double
share_of (cs_contention_t *contention, const cs_contention_usage_t *usage,
          cs_time_us_t now)
{
  double usual_sum = 0;
  double recent_sum = 0;
  int count = 0;
  for (int i = 0; i < CS_CONTENTION_ORGANISATIONS; i++)
    if (contention->usages[i].key != 0)
      {
        decay (&contention->usages[i], now);
        usual_sum += contention->usages[i].usual;
        recent_sum += contention->usages[i].recent;
        count++;
      }
  double others = usual_recent (contention, usual_sum - usage->usual, now);
  double growth
      = others > 0 ? fmax (1, (recent_sum - usage->recent) / others) : 1;
  double usual = fmax (usage->usual, usual_sum / count);
  return SHARE_FACTOR * growth * usual_recent (contention, usual, now)
         + SHARE_MARGIN;
}

static const cs_contention_work_t *
find_work (const cs_contention_t *contention, uint64_t route)
{
  for (int i = 0; i < CS_CONTENTION_ROUTES; i++)
    if (contention->works[i].at != 0 && contention->works[i].key == route)
      return &contention->works[i];
  return NULL;
}

/* Returns the entry of ROUTE, which replaces the one that was answered the
   longest ago if there is none.  */
static cs_contention_work_t *
find_or_add_work (cs_contention_t *contention, uint64_t route)
{
  cs_contention_work_t *oldest = &contention->works[0];
  for (int i = 0; i < CS_CONTENTION_ROUTES; i++)
    {
      cs_contention_work_t *work = &contention->works[i];
      if (work->at != 0 && work->key == route)
        return work;
      if (work->at < oldest->at)
        oldest = work;
    }
  *oldest = (cs_contention_work_t){ .key = route };
  return oldest;
}

/* What waits is work of any route.  */
double
cs_contention_expected_us (const cs_contention_t *contention, uint64_t route,
                           double expected, double wait)
{
  const cs_contention_work_t *work = find_work (contention, route);
  if (work == NULL)
    return 0;
  return work->work_us * (expected - wait) + contention->work_us * wait;
}

/* Whether answers are late enough for a request beyond its share to give way.
   Others that are as urgent could be on time without it.  */
static bool
is_congested (const cs_contention_request_t *request, double expected_us)
{
  return request->objective_us > 0
         && expected_us
                > (double)request->objective_us * (1 + request->urgency);
}

cs_contention_decision_t
cs_contention_decide (cs_contention_t *contention,
                      const cs_contention_request_t *request,
                      const cs_contention_load_t *load, cs_time_us_t now)
{
  cs_contention_decision_t decision = { .verdict = CS_CONTENTION_SENT };
  double expected = load->mean_expected
                    + (load->expected - load->mean_expected) * DIFFERENCE_LEFT;
  double wait
      = load->mean_wait + (load->wait - load->mean_wait) * DIFFERENCE_LEFT;
  double expected_us
      = cs_contention_expected_us (contention, request->route, expected, wait);
  bool is_busy = load->mean_calls >= BUSY_SLOT_SHARE * load->slots;
  decision.expected_us = (cs_time_us_t)expected_us;
  if (contention->since == 0)
    contention->since = now;
  if (is_busy && expected_us > (double)request->remaining_us)
    {
      decision.verdict = CS_CONTENTION_TOO_LATE;
      return decision;
    }
  if (request->is_retry)
    return decision;
  uint64_t key = request->organisation == 0 ? 1 : request->organisation;
  cs_contention_usage_t *usage = find_usage (contention, key, now);
  decay (usage, now);
  decision.recent = usage->recent + 1;
  if (is_busy && now - contention->since >= LEARNING_US
      && is_congested (request, expected_us))
    {
      decision.share = share_of (contention, usage, now);
      if (decision.recent > decision.share)
        {
          decision.verdict = CS_CONTENTION_BEYOND_SHARE;
          return decision;
        }
    }
  usage->recent += 1;
  usage->usual += 1;
  return decision;
}

void
cs_contention_record (cs_contention_t *contention, uint64_t route,
                      double expected, double wait, cs_time_us_t took_us,
                      cs_time_us_t now)
{
  double expected_us
      = cs_contention_expected_us (contention, route, expected, wait);
  cs_contention_work_t *work = find_or_add_work (contention, route);
  /* Without an earlier answer, all of the time is taken as of this route.  */
  double work_us = expected_us > 0
                       ? work->work_us * (double)took_us / expected_us
                       : (double)took_us / expected;
  if (work->at == 0)
    work->work_us = work_us;
  if (contention->work_us == 0)
    contention->work_us = work_us;
  work->at = now;
  work->work_us += (work_us - work->work_us) * WORK_WEIGHT;
  contention->work_us += (work_us - contention->work_us) * WORK_WEIGHT;
}

const char *
cs_contention_verdict_name (cs_contention_verdict_t verdict)
{
  static const char *const names[] = { "sent", "too_late", "beyond_share" };
  return names[verdict];
}
