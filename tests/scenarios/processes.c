/* Verbs that start, signal and stop processes.  */

#include "scenario.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/clock.h"

#define START_TIMEOUT_MS 10000

static process_t *
find_process (scenario_t *scenario, const char *name)
{
  for (process_t *p = scenario->processes; p != NULL; p = p->next)
    if (strcmp (p->name, name) == 0)
      return p;
  return NULL;
}

/* Runs the program ARGUMENTS[0], with its output written to a log file named
   after the process.  A process with a known NAME is started again.  */
static process_t *
start_process (scenario_t *scenario, const char *name, char **arguments)
{
  process_t *process = find_process (scenario, name);
  if (process == NULL)
    {
      process = calloc (1, sizeof *process);
      snprintf (process->name, sizeof process->name, "%s", name);
      process->next = scenario->processes;
      scenario->processes = process;
    }
  snprintf (process->log, sizeof process->log, "%s/%s.log", scenario->folder,
            name);
  unlink (process->log);
  process->pid = fork ();
  if (process->pid == 0)
    {
      int log = open (process->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (log, STDOUT_FILENO);
      dup2 (log, STDERR_FILENO);
      execv (arguments[0], arguments);
      _exit (127);
    }
  process->running = process->pid > 0;
  return process;
}

static void
read_file (const char *file, cs_buf_t *out)
{
  char part[4096];
  size_t len;
  FILE *stream = fopen (file, "r");
  cs_buf_clear (out);
  while (stream != NULL && (len = fread (part, 1, sizeof part, stream)) > 0)
    {
      cs_str_t read = { part, len };
      cs_buf_append (out, read);
    }
  if (stream != NULL)
    fclose (stream);
}

/* Waits for a log line that contains PREFIX and copies the word after PREFIX
   to OUT, which has SIZE bytes.  Returns false after START_TIMEOUT_MS.  */
static bool
wait_for_log_value (const process_t *process, const char *prefix, char *out,
                    size_t size)
{
  cs_time_us_t deadline = cs_clock_now () + START_TIMEOUT_MS * CS_US_PER_MS;
  cs_buf_t log = { 0 };
  bool found = false;
  while (!found && cs_clock_now () < deadline)
    {
      read_file (process->log, &log);
      const char *match = log.len == 0 ? NULL : strstr (log.data, prefix);
      /* The line may not be written in full yet.  */
      found = match != NULL && strchr (match, '\n') != NULL;
      if (found)
        snprintf (out, size, "%.*s",
                  (int)strcspn (match + strlen (prefix), " \n"),
                  match + strlen (prefix));
      else
        poll (NULL, 0, 10);
    }
  cs_buf_free (&log);
  return found;
}

static void
start_stand_in (scenario_t *scenario, const char *name, char **arguments)
{
  char address[64];
  process_t *process = start_process (scenario, name, arguments);
  if (!wait_for_log_value (process, "listening ", address, sizeof address))
    {
      scenario_fail (scenario, "%s did not start", name);
      return;
    }
  scenario_set (scenario, name, address);
}

/* platform NAME: starts a stand-in for the platform and sets $NAME to its
   address.  A platform started again keeps its address.  */
void
verb_platform (scenario_t *scenario, const words_t *words)
{
  char program[512];
  const char *listen = scenario_get (scenario, words->words[0]);
  snprintf (program, sizeof program, "%s/tests/stand-ins/stand-in-platform",
            scenario->build);
  char *arguments[]
      = { program, (char *)(listen == NULL ? "127.0.0.1:0" : listen), NULL };
  start_stand_in (scenario, words->words[0], arguments);
}

/* target engine|service NAME: starts a stand-in for a target and sets $NAME to
   its address.  A target started again keeps its address.  */
void
verb_target (scenario_t *scenario, const words_t *words)
{
  char program[512];
  const char *listen = scenario_get (scenario, words->words[1]);
  snprintf (program, sizeof program, "%s/tests/stand-ins/stand-in-target",
            scenario->build);
  char *arguments[]
      = { program, words->words[0], words->words[1],
          (char *)(listen == NULL ? "127.0.0.1:0" : listen), NULL };
  start_stand_in (scenario, words->words[1], arguments);
}

/* Router settings that a scenario does not set: free ports and short
   timeouts.  */
static const char *const default_settings[]
    = { "caller.listen=127.0.0.1:0",   "caller.workers=60",
        "operator.listen=127.0.0.1:0", "peer.listen=127.0.0.1:0",
        "peer.fleet_key=scenario",     "platform.follow_ms=200",
        "platform.timeout_ms=1000",    "stop.lame_duck_ms=200",
        "target.poll_ms=200" };

static void
write_setting (FILE *stream, const char *setting, const char *value)
{
  const char *dot = strchr (setting, '.');
  const char *equals = strchr (setting, '=');
  size_t key_len
      = (equals == NULL ? strlen (setting) : (size_t)(equals - setting))
        - (size_t)(dot - setting) - 1;
  fprintf (stream, "[%.*s]\n%.*s = %s\n", (int)(dot - setting), setting,
           (int)key_len, dot + 1, value);
}

static void
write_settings (const char *file, const words_t *words)
{
  FILE *stream = fopen (file, "w");
  for (size_t i = 0; i < sizeof default_settings / sizeof default_settings[0];
       i++)
    {
      char key[64];
      size_t len = strcspn (default_settings[i], "=");
      memcpy (key, default_settings[i], len);
      key[len] = '\0';
      if (words_option (words, key, NULL) == NULL)
        write_setting (stream, default_settings[i],
                       strchr (default_settings[i], '=') + 1);
    }
  for (int i = 1; i < words->count; i++)
    if (strchr (words->words[i], '.') != NULL
        && strchr (words->words[i], '=') != NULL)
      {
        const char *value = strchr (words->words[i], '=') + 1;
        char *unquoted = strdup (value);
        /* Quotes allow blanks in a value.  */
        if (unquoted[0] == '"')
          {
            memmove (unquoted, unquoted + 1, strlen (unquoted));
            unquoted[strcspn (unquoted, "\"")] = '\0';
          }
        write_setting (stream, words->words[i], unquoted);
        free (unquoted);
      }
  fclose (stream);
}

/* router NAME SECTION.KEY=VALUE...: starts cranberrystiled.  Sets $NAME,
   $NAME.operator and $NAME.peer to the addresses that it serves callers,
   operators and peers on.  */
void
verb_router (scenario_t *scenario, const words_t *words)
{
  char program[512], file[512], address[64], name[128];
  const char *router = words->words[0];
  snprintf (program, sizeof program, "%s/daemon/cranberrystiled",
            scenario->build);
  snprintf (file, sizeof file, "%s/%s.ini", scenario->folder, router);
  write_settings (file, words);
  FILE *stream = fopen (file, "a");
  if (words_option (words, "host.name", NULL) == NULL)
    fprintf (stream, "[host]\nname = %s\n", router);
  fclose (stream);
  char *arguments[] = { program, (char *)"--settings", file, NULL };
  process_t *process = start_process (scenario, router, arguments);
  static const char *const prefixes[] = { "caller=", "operator=", "peer=" };
  static const char *const suffixes[] = { "", ".operator", ".peer" };
  for (int i = 0; i < 3; i++)
    {
      if (!wait_for_log_value (process, prefixes[i], address, sizeof address))
        {
          scenario_fail (scenario, "%s did not start", router);
          return;
        }
      snprintf (name, sizeof name, "%s%s", router, suffixes[i]);
      scenario_set (scenario, name, address);
    }
}

/* router-refuses NAME TEXT SECTION.KEY=VALUE...: checks that cranberrystiled
   exits with an error and that its log contains TEXT.  */
void
verb_router_refuses (scenario_t *scenario, const words_t *words)
{
  char program[512], file[512];
  cs_buf_t log = { 0 };
  words_t settings = { 1, { words->words[0] } };
  for (int i = 2; i < words->count; i++)
    settings.words[settings.count++] = words->words[i];
  snprintf (program, sizeof program, "%s/daemon/cranberrystiled",
            scenario->build);
  snprintf (file, sizeof file, "%s/%s.ini", scenario->folder, words->words[0]);
  write_settings (file, &settings);
  char *arguments[] = { program, (char *)"--settings", file, NULL };
  process_t *process = start_process (scenario, words->words[0], arguments);
  waitpid (process->pid, &process->status, 0);
  process->running = false;
  read_file (process->log, &log);
  if (!WIFEXITED (process->status) || WEXITSTATUS (process->status) == 0
      || log.len == 0 || strstr (log.data, words->words[1]) == NULL)
    scenario_fail (
        scenario, "%s should have exited with the error \"%s\": status %d, %s",
        words->words[0], words->words[1], process->status,
        log.len == 0 ? "" : log.data);
  cs_buf_free (&log);
}

static int
signal_number (const char *name)
{
  static const struct
  {
    const char *name;
    int number;
  } names[] = { { "TERM", SIGTERM },
                { "KILL", SIGKILL },
                { "STOP", SIGSTOP },
                { "CONT", SIGCONT },
                { "INT", SIGINT } };
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (names[i].name, name) == 0)
      return names[i].number;
  return 0;
}

/* signal NAME TERM|KILL|STOP|CONT|INT: KILL also waits for the process to
   end.  */
void
verb_signal (scenario_t *scenario, const words_t *words)
{
  process_t *process = find_process (scenario, words->words[0]);
  if (process == NULL || !process->running)
    scenario_fail (scenario, "%s is not running", words->words[0]);
  else
    kill (process->pid, signal_number (words->words[1]));
  if (process != NULL && strcmp (words->words[1], "KILL") == 0)
    {
      waitpid (process->pid, &process->status, 0);
      process->running = false;
    }
}

/* stopped NAME within=MS: checks that the process exits with status 0 in
   time.  */
void
verb_stopped (scenario_t *scenario, const words_t *words)
{
  process_t *process = find_process (scenario, words->words[0]);
  cs_time_us_t deadline
      = cs_clock_now ()
        + (cs_time_us_t)words_number (words, "within", 10000) * CS_US_PER_MS;
  while (process != NULL && process->running && cs_clock_now () < deadline)
    {
      if (waitpid (process->pid, &process->status, WNOHANG) == process->pid)
        process->running = false;
      else
        poll (NULL, 0, 10);
    }
  if (process == NULL || process->running)
    scenario_fail (scenario, "%s did not exit in time", words->words[0]);
  else if (!WIFEXITED (process->status) || WEXITSTATUS (process->status) != 0)
    scenario_fail (scenario, "%s exited with wait status %d", words->words[0],
                   process->status);
}

/* log-has NAME TEXT [count=N]: checks that the log contains TEXT, or contains
   it exactly N times.  */
void
verb_log_has (scenario_t *scenario, const words_t *words)
{
  const process_t *process = find_process (scenario, words->words[0]);
  cs_buf_t log = { 0 };
  long count = 0;
  long expected_count = words_number (words, "count", -1);
  if (process != NULL)
    read_file (process->log, &log);
  for (const char *match = log.data;
       match != NULL && (match = strstr (match, words->words[1])) != NULL;
       match++)
    count++;
  if (expected_count >= 0 ? count != expected_count : count == 0)
    scenario_fail (scenario, "the log of %s contains \"%s\" %ld times",
                   words->words[0], words->words[1], count);
  cs_buf_free (&log);
}

void
scenario_kill_processes (scenario_t *scenario)
{
  for (process_t *p = scenario->processes; p != NULL; p = p->next)
    if (p->running)
      {
        kill (p->pid, SIGKILL);
        waitpid (p->pid, &p->status, 0);
        p->running = false;
      }
}

/* note NAME {JSON}: writes a release note to a file and sets $NAME to its
   path.  */
void
verb_note (scenario_t *scenario, const words_t *words)
{
  char file[512];
  snprintf (file, sizeof file, "%s/%s.json", scenario->folder,
            words->words[0]);
  FILE *stream = fopen (file, "w");
  fputs (words->words[1], stream);
  fclose (stream);
  scenario_set (scenario, words->words[0], file);
}

/* Runs cranberrystilectl with ARGUMENTS, which end in NULL; sets ARGUMENTS[0]
   to the program.  Appends its output to OUTPUT.  Returns the exit status, 127
   if the program could not be executed, or -1 if no pipe could be created or a
   signal ended the program.  */
static int
run_ctl (scenario_t *scenario, char **arguments, cs_buf_t *output)
{
  char program[512];
  int pipe_fds[2];
  int status = -1;
  char part[1024];
  ssize_t got;
  snprintf (program, sizeof program, "%s/ctl/cranberrystilectl",
            scenario->build);
  arguments[0] = program;
  if (pipe (pipe_fds) != 0)
    return -1;
  pid_t pid = fork ();
  if (pid == 0)
    {
      dup2 (pipe_fds[1], STDOUT_FILENO);
      dup2 (pipe_fds[1], STDERR_FILENO);
      close (pipe_fds[0]);
      execv (program, arguments);
      _exit (127);
    }
  close (pipe_fds[1]);
  while ((got = read (pipe_fds[0], part, sizeof part)) > 0)
    {
      cs_str_t bytes = { part, (size_t)got };
      cs_buf_append (output, bytes);
    }
  close (pipe_fds[0]);
  waitpid (pid, &status, 0);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* ctl ID WORDS...: runs cranberrystilectl and sets $ID.exit and
   $ID.output.  */
void
verb_ctl (scenario_t *scenario, const words_t *words)
{
  char *arguments[MAX_WORDS + 2] = { NULL };
  char name[128], text[16];
  cs_buf_t output = { 0 };
  for (int i = 1; i < words->count; i++)
    arguments[i] = words->words[i];
  int status = run_ctl (scenario, arguments, &output);
  snprintf (text, sizeof text, "%d", status);
  snprintf (name, sizeof name, "%s.exit", words->words[0]);
  scenario_set (scenario, name, text);
  snprintf (name, sizeof name, "%s.output", words->words[0]);
  scenario_set (scenario, name, output.data == NULL ? "" : output.data);
  cs_buf_free (&output);
}

/* apply PLATFORM {NOTE}: applies a release note, which must succeed.  */
void
verb_apply (scenario_t *scenario, const words_t *words)
{
  words_t note = { 2, { (char *)"apply-note", words->words[1] } };
  char *arguments[] = { NULL,
                        (char *)"release",
                        (char *)"apply",
                        NULL,
                        (char *)"--platform",
                        words->words[0],
                        (char *)"--user",
                        (char *)"scenario",
                        NULL };
  cs_buf_t output = { 0 };
  verb_note (scenario, &note);
  arguments[3] = (char *)scenario_get (scenario, "apply-note");
  if (run_ctl (scenario, arguments, &output) != 0)
    scenario_fail (scenario, "the release note was not accepted: %s",
                   output.data);
  cs_buf_free (&output);
}

void
verb_sleep (scenario_t *scenario, const words_t *words)
{
  poll (NULL, 0, atoi (words->words[0]));
}

/* print WORDS...: prints the words to standard output; for demos.  */
void
verb_print (scenario_t *scenario, const words_t *words)
{
  for (int i = 0; i < words->count; i++)
    printf ("%s%s", words->words[i], i + 1 < words->count ? " " : "\n");
  fflush (stdout);
}

/* print-lines ID TEXT...: prints the lines of $ID.body that contain one of the
   texts and are not comments.  */
void
verb_print_lines (scenario_t *scenario, const words_t *words)
{
  char name[128];
  char *rest = NULL;
  snprintf (name, sizeof name, "%s.body", words->words[0]);
  const char *body = scenario_get (scenario, name);
  char *copy = strdup (body == NULL ? "" : body);
  for (char *line = strtok_r (copy, "\n", &rest); line != NULL;
       line = strtok_r (NULL, "\n", &rest))
    for (int i = 1; i < words->count; i++)
      if (line[0] != '#' && strstr (line, words->words[i]) != NULL)
        printf ("  %s\n", line);
  free (copy);
}
