#include "cranberrystile/version_history.h"

static bool
has_streams (const cs_version_seen_t *seen, cs_time_us_t now)
{
  return now < seen->seen_at + CS_STREAM_LIFE_US;
}

static cs_version_seen_t *
find (cs_version_history_t *history, uint64_t version)
{
  for (size_t i = 0; i < history->count; i++)
    if (history->seen[i].version == version)
      return &history->seen[i];
  return NULL;
}

/* Returns the entry for a new version.  */
static cs_version_seen_t *
allocate (cs_version_history_t *history)
{
  cs_version_seen_t *oldest = &history->seen[0];
  if (history->count < CS_VERSION_HISTORY_MAX)
    return &history->seen[history->count++];
  for (size_t i = 1; i < history->count; i++)
    if (history->seen[i].seen_at < oldest->seen_at)
      oldest = &history->seen[i];
  return oldest;
}

bool
cs_version_history_see (cs_version_history_t *history,
                        const cs_version_seen_t *seen, cs_time_us_t now)
{
  cs_version_seen_t *known = find (history, seen->version);
  if (!has_streams (seen, now))
    return false;
  if (known != NULL && !has_streams (known, now))
    {
      *known = *seen;
      return true;
    }
  if (known != NULL)
    {
      if (seen->seen_at > known->seen_at)
        known->seen_at = seen->seen_at;
      if (seen->few_at > known->few_at)
        known->few_at = seen->few_at;
      return false;
    }
  cs_version_history_expire (history, now);
  if (history->count == CS_VERSION_HISTORY_MAX)
    history->forgot_at = now;
  *allocate (history) = *seen;
  return true;
}

bool
cs_version_history_lacks (const cs_version_history_t *history,
                          cs_time_us_t now)
{
  return history->forgot_at != 0
         && now < history->forgot_at + CS_STREAM_LIFE_US;
}

void
cs_version_history_expire (cs_version_history_t *history, cs_time_us_t now)
{
  size_t kept = 0;
  for (size_t i = 0; i < history->count; i++)
    if (has_streams (&history->seen[i], now))
      history->seen[kept++] = history->seen[i];
  history->count = kept;
}

bool
cs_version_history_has (const cs_version_history_t *history, uint64_t version,
                        cs_time_us_t now)
{
  for (size_t i = 0; i < history->count; i++)
    if (history->seen[i].version == version)
      return has_streams (&history->seen[i], now);
  return false;
}

size_t
cs_version_history_count (const cs_version_history_t *history,
                          uint64_t service, cs_time_us_t now,
                          uint64_t *version)
{
  size_t count = 0;
  for (size_t i = 0; i < history->count; i++)
    if (history->seen[i].service == service
        && has_streams (&history->seen[i], now))
      {
        *version = history->seen[i].version;
        count++;
      }
  return count;
}

void
cs_version_history_set_base (cs_version_history_t *history, uint64_t version)
{
  const cs_version_seen_t *base = find (history, version);
  if (base == NULL)
    return;
  for (size_t i = 0; i < history->count; i++)
    if (history->seen[i].service == base->service)
      history->seen[i].is_base = history->seen[i].version == version;
}

bool
cs_version_history_is_base (const cs_version_history_t *history,
                            uint64_t version)
{
  for (size_t i = 0; i < history->count; i++)
    if (history->seen[i].version == version)
      return history->seen[i].is_base;
  return false;
}

uint64_t
cs_version_history_base (const cs_version_history_t *history, uint64_t service,
                         cs_time_us_t now)
{
  for (size_t i = 0; i < history->count; i++)
    if (history->seen[i].service == service && history->seen[i].is_base
        && has_streams (&history->seen[i], now))
      return history->seen[i].version;
  return 0;
}

uint64_t
cs_version_history_main_base (const cs_version_history_t *history,
                              uint64_t service, cs_time_us_t now)
{
  uint64_t base = cs_version_history_base (history, service, now);
  uint32_t of_base = 0;
  uint32_t all = 0;
  for (size_t i = 0; i < history->count; i++)
    {
      const cs_version_seen_t *seen = &history->seen[i];
      if (seen->service != service)
        continue;
      all += seen->targets;
      if (seen->version == base)
        of_base = seen->targets;
    }
  return of_base > 0 && 2 * of_base >= all ? base : 0;
}

void
cs_version_history_check_bases (cs_version_history_t *history,
                                cs_time_us_t now)
{
  for (size_t i = 0; i < history->count; i++)
    {
      cs_version_seen_t *seen = &history->seen[i];
      if (seen->is_base && has_streams (seen, now)
          && cs_version_history_main_base (history, seen->service, now) == 0)
        seen->few_at = now;
    }
}

bool
cs_version_history_had_few (const cs_version_history_t *history,
                            uint64_t service, cs_time_us_t now)
{
  for (size_t i = 0; i < history->count; i++)
    {
      const cs_version_seen_t *seen = &history->seen[i];
      if (seen->service == service && seen->is_base && seen->few_at != 0
          && now < seen->few_at + CS_STREAM_LIFE_US)
        return true;
    }
  return false;
}

void
cs_version_history_count_target (cs_version_history_t *history,
                                 uint64_t version)
{
  cs_version_seen_t *seen = find (history, version);
  if (seen != NULL)
    seen->targets++;
}

void
cs_version_history_reset_targets (cs_version_history_t *history)
{
  for (size_t i = 0; i < history->count; i++)
    history->seen[i].targets = 0;
}
