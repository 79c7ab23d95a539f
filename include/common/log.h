/* Syslog-style log lines on standard error:
   <5>2026-01-02T03:04:05.678Z host cranberrystiled[42]: CS1001 key=value ...
   Thread-safe; one write a line.  */

#ifndef CS_COMMON_LOG_H
#define CS_COMMON_LOG_H

#include "common/event.h"

/* Sets the host and program names that head each line.  Call once.  */
void cs_log_init (const char *host, const char *program);

/* Writes event EVENT with a printf-formatted list of key=value pairs.  */
void cs_log (cs_event_t event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
