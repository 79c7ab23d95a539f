/* cranberrystiled: the router of one entry host.  */

#include <argtable2.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/log.h"
#include "daemon/daemon.h"

#define EXIT_USAGE 2

typedef struct
{
  const char *settings; /* points into argv */
  bool check;
} arguments_t;

/* Returns the exit status, or -1 to go on.  */
static int
parse_arguments (int argc, char **argv, arguments_t *out)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_lit *check
      = arg_lit0 (NULL, "check-settings", "check the settings and exit");
  struct arg_str *settings
      = arg_str0 ("s", "settings", "FILE", "settings, in INI form");
  struct arg_end *end = arg_end (4);
  void *table[] = { help, version, check, settings, end };
  int errors = arg_parse (argc, argv, table);
  int status = -1;
  if (help->count > 0)
    {
      printf ("Usage: cranberrystiled");
      arg_print_syntax (stdout, table, "\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      status = 0;
    }
  else if (version->count > 0)
    {
      printf ("cranberrystiled %s\n", CS_VERSION);
      status = 0;
    }
  else if (errors > 0 || settings->count == 0)
    {
      fprintf (stderr, "cranberrystiled: --settings FILE is needed; see "
                       "--help\n");
      status = EXIT_USAGE;
    }
  else
    {
      out->settings = settings->sval[0];
      out->check = check->count > 0;
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

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
  arguments_t arguments;
  cs_buf_t reason = { 0 };
  int status = parse_arguments (argc, argv, &arguments);
  if (status >= 0)
    return status;
  cs_log_init ("-", "cranberrystiled");
  if (cs_settings_read (arguments.settings, &settings, &reason) != 0)
    {
      cs_log (CS_EV_BAD_SETTING, "%s", reason.data);
      cs_buf_free (&reason);
      return EXIT_USAGE;
    }
  if (arguments.check)
    {
      printf ("%s: the settings are good\n", arguments.settings);
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
