/* Clocks.  Only programs read them; library functions take the time as an
   argument.  */

#ifndef CS_COMMON_CLOCK_H
#define CS_COMMON_CLOCK_H

#include <stdint.h>

/* Monotonic time in microseconds.  */
typedef uint64_t cs_time_us_t;

#define CS_US_PER_MS 1000ULL
#define CS_US_PER_S 1000000ULL

/* Monotonic time that goes on during a suspend of the process's machine, so
   that a lease cannot outlive a pause unnoticed.  */
cs_time_us_t cs_clock_now (void);

/* Wall-clock time in milliseconds since 1970, for records read by people and
   for expiry of objects in the platform.  */
uint64_t cs_clock_wall_ms (void);

/* Processor time used by this process in microseconds.  */
uint64_t cs_clock_cpu_us (void);

#endif
