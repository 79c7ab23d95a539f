/* Clocks.  Only the programs read them; functions of libcranberrystile take
   the time as an argument.  */

#ifndef CS_COMMON_CLOCK_H
#define CS_COMMON_CLOCK_H

#include <stdint.h>

/* Monotonic time in microseconds.  */
typedef uint64_t cs_time_us_t;

#define CS_US_PER_MS 1000ULL
#define CS_US_PER_S 1000000ULL

/* Returns the monotonic time, including time for which the machine was
   suspended: otherwise a lease could expire during a suspend without its
   holder noticing.  */
cs_time_us_t cs_clock_now (void);

/* Returns the wall-clock time in milliseconds since 1970, for records read by
   people and for the expiry of objects in the platform.  */
uint64_t cs_clock_wall_ms (void);

/* Returns the CPU time used by this process in microseconds.  */
uint64_t cs_clock_cpu_us (void);

#endif
