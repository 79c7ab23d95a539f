#include "net/overdue.h"

/* Reading a few megabytes takes some milliseconds.  */
#define MAX_READ_US (50 * CS_US_PER_MS)

bool
cs_overdue_may_read (cs_overdue_t *overdue, cs_time_us_t now)
{
  if (overdue->since == 0)
    overdue->since = now;
  return now - overdue->since < MAX_READ_US;
}
