/* GET /metrics.  */

#include <stdio.h>
#include <string.h>

#include "daemon/handlers.h"

/* Returns the resident memory of this process in bytes, or 0 if it cannot be
   read.  */
static unsigned long long
resident_bytes (void)
{
  unsigned long long kib = 0;
  char line[256];
  FILE *status = fopen ("/proc/self/status", "r");
  if (status == NULL)
    return 0;
  while (fgets (line, sizeof line, status) != NULL)
    if (sscanf (line, "VmRSS: %llu kB", &kib) == 1)
      break;
  fclose (status);
  return kib * 1024;
}

static void
print_gauge (cs_buf_t *body, const char *name, const char *help, double value)
{
  cs_buf_printf (body,
                 "# HELP cranberrystile_%s %s.\n"
                 "# TYPE cranberrystile_%s gauge\n"
                 "cranberrystile_%s %.17g\n",
                 name, help, name, name, value);
}

int
cs_operate_metrics (cs_daemon_t *daemon, const char *query, cs_buf_t *body,
                    const char **content_type)
{
  *content_type = "text/plain; version=0.0.4";
  if (cs_counters_print (daemon->counters, body) != 0)
    return 503;
  print_gauge (body, "revision", "Release in force",
               (double)cs_configuration_revision (daemon->configuration));
  print_gauge (body, "requests_in_flight", "Requests being served",
               atomic_load (&daemon->requests));
  print_gauge (body, "process_cpu_seconds_total", "Processor time used",
               (double)cs_clock_cpu_us () / (double)CS_US_PER_S);
  print_gauge (body, "process_resident_memory_bytes", "Resident memory",
               (double)resident_bytes ());
  print_gauge (body, "uptime_seconds", "Time since the start",
               (double)(cs_clock_now () - daemon->started)
                   / (double)CS_US_PER_S);
  return 200;
}
