/* The shared budget of repeats, kept without talk between routers: in each
   window a router repeats at most RATIO times its own first tries and its part
   of a fixed allowance, so the sum over all routers keeps the bound.  Not
   thread-safe.  */

#ifndef CS_RETRY_WINDOW_H
#define CS_RETRY_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include "common/clock.h"

/* Parts that a window slides by.  */
#define CS_RETRY_WINDOW_PARTS 10

typedef struct
{
  double ratio;
  cs_time_us_t part_us;
  uint64_t part; /* number of the newest part */
  uint32_t first_tries[CS_RETRY_WINDOW_PARTS];
  uint32_t repeats[CS_RETRY_WINDOW_PARTS];
} cs_retry_window_t;

void cs_retry_window_init (cs_retry_window_t *window, double ratio,
                           cs_time_us_t length_us);
void cs_retry_window_first_try (cs_retry_window_t *window, cs_time_us_t now);

/* Takes one repeat; ALLOWANCE is what this router may repeat in a window
   beside its ratio.  Returns false when the window does not allow it.  */
bool cs_retry_window_take (cs_retry_window_t *window, double allowance,
                           cs_time_us_t now);

#endif
