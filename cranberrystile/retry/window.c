#include "cranberrystile/retry_window.h"

#include <string.h>

void
cs_retry_window_init (cs_retry_window_t *window, double ratio,
                      cs_time_us_t length_us)
{
  memset (window, 0, sizeof *window);
  window->ratio = ratio;
  window->part_us = length_us / CS_RETRY_WINDOW_PARTS;
}

/* Clears the parts that the window has slid over since it was last used.  */
static void
advance (cs_retry_window_t *window, cs_time_us_t now)
{
  uint64_t part = now / window->part_us;
  uint64_t steps = part - window->part;
  if (steps > CS_RETRY_WINDOW_PARTS)
    steps = CS_RETRY_WINDOW_PARTS;
  for (uint64_t i = 0; i < steps; i++)
    {
      uint64_t at = (part - i) % CS_RETRY_WINDOW_PARTS;
      window->first_tries[at] = 0;
      window->repeats[at] = 0;
    }
  window->part = part;
}

void
cs_retry_window_first_try (cs_retry_window_t *window, cs_time_us_t now)
{
  advance (window, now);
  window->first_tries[window->part % CS_RETRY_WINDOW_PARTS]++;
}

bool
cs_retry_window_take (cs_retry_window_t *window, double allowance,
                      cs_time_us_t now)
{
  uint32_t first_tries = 0;
  uint32_t repeats = 0;
  advance (window, now);
  for (int i = 0; i < CS_RETRY_WINDOW_PARTS; i++)
    {
      first_tries += window->first_tries[i];
      repeats += window->repeats[i];
    }
  if (repeats + 1 > window->ratio * first_tries + allowance)
    return false;
  window->repeats[window->part % CS_RETRY_WINDOW_PARTS]++;
  return true;
}
