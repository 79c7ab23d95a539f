/* Syslog-style log lines, on standard error unless told otherwise:
   <5>2026-01-02T03:04:05.678Z host cranberrystiled[42]: CS1001 key=value ...
   Thread-safe; one write a line.  */

#ifndef CS_COMMON_LOG_H
#define CS_COMMON_LOG_H

#include <stdint.h>

#include "common/event.h"

/* Sets the host and program names that head each line.  Call once.  */
void cs_log_init (const char *host, const char *program);

/* Writes to FD from now on, without ever waiting for its reader.  */
void cs_log_to (int fd);

/* Bounds the lines written in a second; warnings and errors always pass.  */
void cs_log_limit (uint32_t lines_per_s);

/* Lines that were not written: over the bound, or the reader was slow.  */
uint64_t cs_log_dropped (void);

/* Writes event EVENT with a printf-formatted list of key=value pairs.  */
void cs_log (cs_event_t event, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
