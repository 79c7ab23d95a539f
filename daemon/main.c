/* cranberrystiled: the router daemon of one entry host.  */

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "common/program_options.h"
#include "daemon/daemon.h"

static void
block_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
  pthread_sigmask (SIG_BLOCK, set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Logs signals received during the shutdown, on which they have no effect.  */
static void *
log_further_signals (void *argument)
{
  const sigset_t *set = argument;
  int number;
  while (sigwait (set, &number) == 0)
    cs_log (CS_EV_STOP_REPEATED, "signal=%d", number);
  return NULL;
}

static int
run_daemon (const cs_settings_t *settings)
{
  static sigset_t set;
  pthread_t thread;
  int number;
  block_signals (&set);
  cs_daemon_t *daemon = cs_daemon_create (settings);
  if (daemon == NULL)
    return EXIT_FAILURE;
  sigwait (&set, &number);
  bool logging
      = pthread_create (&thread, NULL, log_further_signals, &set) == 0;
  cs_daemon_stop (daemon);
  cs_daemon_destroy (daemon);
  if (logging)
    {
      pthread_cancel (thread);
      pthread_join (thread, NULL);
    }
  cs_log (CS_EV_STOPPED, "host=%s", settings->name);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  static cs_settings_t settings;
  cs_program_options_t options;
  cs_buf_t reason = { 0 };
  int status = cs_program_options_parse ("cranberrystiled", NULL, argc, argv,
                                         &options);
  if (status >= 0)
    return status;
  cs_log_init ("-", "cranberrystiled");
  if (cs_settings_read (options.settings, &settings, &reason) != 0)
    {
      cs_log (CS_EV_BAD_SETTING, "%s", reason.data);
      cs_buf_free (&reason);
      return CS_EXIT_USAGE;
    }
  if (options.check)
    {
      printf ("%s: settings are valid\n", options.settings);
      return EXIT_SUCCESS;
    }
  cs_log_init (settings.name, "cranberrystiled");
  /* Refuse to start rather than serve plain text when TLS is configured.  */
  if (settings.tls_certificate[0] != '\0')
    {
      cs_log (CS_EV_START_FAILED,
              "reason=\"TLS towards callers is not supported; terminate it "
              "at the load balancer\"");
      status = EXIT_FAILURE;
    }
  else
    status = run_daemon (&settings);
  return status;
}
