/* cranberrystiled: the router of one entry host.  */

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

/* Says that further signals change nothing while the stop is under way.  */
static void *
answer_signals (void *argument)
{
  const sigset_t *set = argument;
  int number;
  while (sigwait (set, &number) == 0)
    cs_log (CS_EV_STOP_REPEATED, "signal=%d", number);
  return NULL;
}

static int
run (const cs_settings_t *settings)
{
  static sigset_t set;
  pthread_t thread;
  int number;
  block_signals (&set);
  cs_daemon_t *daemon = cs_daemon_create (settings);
  if (daemon == NULL)
    return EXIT_FAILURE;
  sigwait (&set, &number);
  bool answering = pthread_create (&thread, NULL, answer_signals, &set) == 0;
  cs_daemon_stop (daemon);
  cs_daemon_destroy (daemon);
  if (answering)
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
      printf ("%s: the settings are good\n", options.settings);
      return EXIT_SUCCESS;
    }
  cs_log_init (settings.name, "cranberrystiled");
  /* Plain text under a setting that asks for TLS would be worse than nothing.
   */
  if (settings.tls_certificate[0] != '\0')
    {
      cs_log (CS_EV_START_FAILED,
              "reason=\"TLS towards callers is not built in; end it at the "
              "balancer\"");
      status = EXIT_FAILURE;
    }
  else
    status = run (&settings);
  return status;
}
