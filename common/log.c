#include "common/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "common/str.h"

#define MAX_LINE_BYTES 1024
#define PRIORITY_NOTICE 5

static cs_name_t log_host;
static cs_name_t log_program;
static int log_fd = STDERR_FILENO;
static uint32_t max_lines_per_s = UINT32_MAX;
static _Atomic uint64_t current_second; /* in which LINES are counted */
static _Atomic uint32_t lines;
static _Atomic uint64_t dropped;

static int
event_priority (cs_event_t event)
{
  switch (event)
    {
#define CS_EVENT_CASE(symbol, number, priority)                               \
  case CS_EV_##symbol:                                                        \
    return (priority);
      CS_EVENT_LIST (CS_EVENT_CASE)
#undef CS_EVENT_CASE
    }
  return 4;
}

void
cs_log_init (const char *host, const char *program)
{
  cs_name_set (&log_host, cs_str (host));
  cs_name_set (&log_program, cs_str (program));
}

void
cs_log_set_fd (int fd)
{
  int flags = fcntl (fd, F_GETFL);
  log_fd = fd;
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

void
cs_log_set_rate_limit (uint32_t lines_per_s)
{
  max_lines_per_s = lines_per_s;
}

uint64_t
cs_log_dropped (void)
{
  return dropped;
}

/* Counts a line and returns whether it may be written.  Lines of a priority
   above notice are exempt from the limit.  */
static bool
is_within_limit (cs_event_t event, time_t now)
{
  if (current_second != (uint64_t)now)
    {
      current_second = (uint64_t)now;
      lines = 0;
    }
  return event_priority (event) < PRIORITY_NOTICE || lines++ < max_lines_per_s;
}

static size_t
write_line_prefix (char *line, size_t size, cs_event_t event,
                   const struct timespec *now)
{
  struct tm utc;
  char stamp[32];
  gmtime_r (&now->tv_sec, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  int len
      = snprintf (line, size, "<%d>%s.%03ldZ %s %s[%d]: CS%d ",
                  event_priority (event), stamp, now->tv_nsec / 1000000,
                  log_host.text, log_program.text, (int)getpid (), (int)event);
  return len < 0 ? 0 : (size_t)len;
}

/* Prevents log injection: some of the text comes from callers, and a line
   break in it could forge a log line.  */
static void
replace_control_characters (char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if ((unsigned char)text[i] < ' ')
      text[i] = '?';
}

void
cs_log (cs_event_t event, const char *format, ...)
{
  char line[MAX_LINE_BYTES];
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  if (!is_within_limit (event, now.tv_sec))
    {
      dropped++;
      return;
    }
  size_t prefix = write_line_prefix (line, sizeof line, event, &now);
  va_list args;
  va_start (args, format);
  int len = vsnprintf (line + prefix, sizeof line - prefix - 1, format, args);
  va_end (args);
  size_t total = prefix + (len < 0 ? 0 : (size_t)len);
  if (total > sizeof line - 2)
    total = sizeof line - 2;
  replace_control_characters (line, total);
  line[total] = '\n';
  /* Drop the line rather than retry: a slow reader must not block the program.
   */
  if (write (log_fd, line, total + 1) < 0)
    dropped++;
}
