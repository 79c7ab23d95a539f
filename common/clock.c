#include "common/clock.h"

#include <time.h>

static uint64_t
read_clock (clockid_t id)
{
  struct timespec t;
  clock_gettime (id, &t);
  return (uint64_t)t.tv_sec * CS_US_PER_S + (uint64_t)t.tv_nsec / 1000;
}

cs_time_us_t
cs_clock_now (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

uint64_t
cs_clock_wall_ms (void)
{
  return read_clock (CLOCK_REALTIME) / 1000;
}

uint64_t
cs_clock_cpu_us (void)
{
  return read_clock (CLOCK_PROCESS_CPUTIME_ID);
}
