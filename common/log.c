#include "common/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#include "common/str.h"

#define LINE_MAX_BYTES 1024
#define PRIORITY_NOTICE 5

static cs_name_t log_host;
static cs_name_t log_program;
static int log_fd = STDERR_FILENO;
static uint32_t lines_most = UINT32_MAX; /* in a second */
static _Atomic uint64_t second;          /* that LINES counts */
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
cs_log_to (int fd)
{
  int flags = fcntl (fd, F_GETFL);
  log_fd = fd;
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

void
cs_log_limit (uint32_t lines_per_s)
{
  lines_most = lines_per_s;
}

uint64_t
cs_log_dropped (void)
{
  return dropped;
}

/* Counts a line; returns false when it is one too many in its second.  Lines
   more urgent than a notice always pass.  */
static bool
is_within_limit (cs_event_t event, time_t now)
{
  if (second != (uint64_t)now)
    {
      second = (uint64_t)now;
      lines = 0;
    }
  return event_priority (event) < PRIORITY_NOTICE || lines++ < lines_most;
}

static size_t
line_head (char *line, size_t size, cs_event_t event,
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

/* Callers choose some of the text; a line break in it would forge a line.  */
static void
replace_controls (char *text, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if ((unsigned char)text[i] < ' ')
      text[i] = '?';
}

void
cs_log (cs_event_t event, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  if (!is_within_limit (event, now.tv_sec))
    {
      dropped++;
      return;
    }
  size_t head = line_head (line, sizeof line, event, &now);
  va_list args;
  va_start (args, format);
  int len = vsnprintf (line + head, sizeof line - head - 1, format, args);
  va_end (args);
  size_t total = head + (len < 0 ? 0 : (size_t)len);
  if (total > sizeof line - 2)
    total = sizeof line - 2;
  replace_controls (line, total);
  line[total] = '\n';
  /* A reader that is too slow must not hold up the program.  */
  if (write (log_fd, line, total + 1) < 0)
    dropped++;
}
