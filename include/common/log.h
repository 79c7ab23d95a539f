/* Syslog-style log lines, written to standard error by default:
   <5>2026-01-02T03:04:05.678Z host cranberrystiled[42]: CS1001 key=value ...
   Thread-safe; each line is one write.  */

#ifndef CS_COMMON_LOG_H
#define CS_COMMON_LOG_H

#include <stdint.h>

#include "common/event.h"

/* Sets the host and program names shown in each line.  Call once, before other
   threads log.  */
void cs_log_init (const char *host, const char *program);

/* Logs to FD from now on and makes FD non-blocking, so that a slow reader
   cannot block the program.  */
void cs_log_set_fd (int fd);

/* Limits the number of lines written per second.  Warnings and errors are
   always written.  */
void cs_log_set_rate_limit (uint32_t lines_per_s);

/* Returns the number of lines dropped because of the rate limit or a failed
   write, such as to a reader that is too slow.  */
uint64_t cs_log_dropped (void);

/* Logs EVENT with a printf-formatted list of key=value pairs.  Long lines are
   truncated, and control characters replaced by '?'.  */
void cs_log (cs_event_t event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
