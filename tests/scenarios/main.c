#include "scenario.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>

#include "common/hash.h"
#include "common/sha256.h"

/* Keep sorted by name.  */
static const verb_t verbs[] = {
  { "apply", verb_apply },
  { "ask", verb_ask },
  { "at", verb_at },
  { "chats", verb_chats },
  { "control", verb_control },
  { "ctl", verb_ctl },
  { "drop", verb_drop },
  { "engine", verb_engine },
  { "expect", verb_expect },
  { "finish", verb_finish },
  { "get", verb_get },
  { "golden", verb_golden },
  { "handed-over", verb_handed_over },
  { "include", verb_include },
  { "log-has", verb_log_has },
  { "note", verb_note },
  { "platform", verb_platform },
  { "pool", verb_pool },
  { "print", verb_print },
  { "print-lines", verb_print_lines },
  { "raw", verb_raw },
  { "recover", verb_recover },
  { "release", verb_release },
  { "request", verb_request },
  { "router", verb_router },
  { "router-refuses", verb_router_refuses },
  { "signal", verb_signal },
  { "sleep", verb_sleep },
  { "start", verb_start },
  { "stopped", verb_stopped },
  { "target", verb_target },
  { "tick", verb_tick },
  { "transcript", verb_transcript },
  { "wait", verb_wait },
};

#define VERB_COUNT (sizeof verbs / sizeof verbs[0])

struct job
{
  char name[64];
  pthread_t thread;
  verb_fn *run;
  words_t words;
  scenario_t *scenario;
  job_t *next;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

void
scenario_lock (void)
{
  pthread_mutex_lock (&lock);
}

void
scenario_unlock (void)
{
  pthread_mutex_unlock (&lock);
}

void
scenario_fail (scenario_t *scenario, const char *format, ...)
{
  va_list args;
  scenario_lock ();
  printf ("%s:%u: ", scenario->file, scenario->line);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
  scenario->failed = true;
  scenario_unlock ();
}

void
scenario_set (scenario_t *scenario, const char *name, const char *value)
{
  variable_t *variable;
  scenario_lock ();
  HASH_FIND_STR (scenario->variables, name, variable);
  if (variable == NULL)
    {
      variable = calloc (1, sizeof *variable);
      variable->name = strdup (name);
      HASH_ADD_KEYPTR (hh, scenario->variables, variable->name,
                       strlen (variable->name), variable);
    }
  free (variable->value);
  variable->value = strdup (value);
  scenario_unlock ();
}

const char *
scenario_get (const scenario_t *scenario, const char *name)
{
  variable_t *variable;
  scenario_lock ();
  HASH_FIND_STR (scenario->variables, name, variable);
  const char *value = variable == NULL ? NULL : variable->value;
  scenario_unlock ();
  return value;
}

const char *
words_option (const words_t *words, const char *key, const char *fallback)
{
  size_t len = strlen (key);
  for (int i = 0; i < words->count; i++)
    if (strncmp (words->words[i], key, len) == 0
        && words->words[i][len] == '=')
      return words->words[i] + len + 1;
  return fallback;
}

long
words_number (const words_t *words, const char *key, long fallback)
{
  const char *text = words_option (words, key, NULL);
  return text == NULL ? fallback : strtol (text, NULL, 10);
}

static bool
is_name_char (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || c == '.' || c == '-' || c == '_'
         || c == ':';
}

/* Replaces $name and $sha256:text in WORD.  The caller frees the result.  */
static char *
expand_variables (scenario_t *scenario, const char *word)
{
  cs_buf_t out = { 0 };
  cs_buf_append (&out, cs_str (""));
  while (*word != '\0')
    {
      char name[128];
      size_t len = 0;
      if (*word != '$')
        {
          cs_str_t character = { word++, 1 };
          cs_buf_append (&out, character);
          continue;
        }
      word++;
      while (is_name_char (word[len]) && len < sizeof name - 1)
        {
          name[len] = word[len];
          len++;
        }
      name[len] = '\0';
      word += len;
      if (strncmp (name, "sha256:", 7) == 0)
        {
          char hash[65];
          cs_sha256_hex (cs_str (name + 7), hash);
          cs_buf_append (&out, cs_str (hash));
          continue;
        }
      const char *value = scenario_get (scenario, name);
      if (value == NULL)
        scenario_fail (scenario, "$%s is not set", name);
      else
        cs_buf_append (&out, cs_str (value));
    }
  return out.data;
}

/* Splits LINE at blanks, except inside quotes, braces and brackets, and stops
   at a comment.  Modifies LINE.  */
static void
split_line (scenario_t *scenario, char *line, words_t *words)
{
  memset (words, 0, sizeof *words);
  while (*line != '\0' && words->count < MAX_WORDS)
    {
      int depth = 0;
      bool quoted = false;
      while (*line == ' ')
        line++;
      if (*line == '\0' || *line == '#')
        return;
      char *begin = line;
      while (*line != '\0' && (depth > 0 || quoted || *line != ' '))
        {
          if (*line == '\\' && quoted && line[1] != '\0')
            line++;
          else if (*line == '"' && depth == 0)
            quoted = !quoted;
          if (!quoted && (*line == '{' || *line == '['))
            depth++;
          if (!quoted && (*line == '}' || *line == ']'))
            depth--;
          line++;
        }
      bool more = *line != '\0';
      *line = '\0';
      words->words[words->count++] = expand_variables (scenario, begin);
      if (more)
        line++;
    }
}

static void
free_words (words_t *words)
{
  for (int i = 0; i < words->count; i++)
    free (words->words[i]);
}

static void *
run_job (void *argument)
{
  job_t *job = argument;
  job->run (job->scenario, &job->words);
  return NULL;
}

void
scenario_start_job (scenario_t *scenario, const char *name, verb_fn *run,
                    const words_t *words)
{
  job_t *job = calloc (1, sizeof *job);
  snprintf (job->name, sizeof job->name, "%s", name);
  job->run = run;
  job->scenario = scenario;
  job->words.count = words->count;
  for (int i = 0; i < words->count; i++)
    job->words.words[i] = strdup (words->words[i]);
  job->next = scenario->jobs;
  scenario->jobs = job;
  pthread_create (&job->thread, NULL, run_job, job);
}

/* start VERB WORDS...: runs a verb in the background.  Its first word is the
   name to pass to finish.  */
void
verb_start (scenario_t *scenario, const words_t *words)
{
  words_t rest = { 0 };
  for (int i = 1; i < words->count; i++)
    rest.words[rest.count++] = words->words[i];
  for (size_t i = 0; i < VERB_COUNT && rest.count > 0; i++)
    if (strcmp (verbs[i].name, words->words[0]) == 0)
      {
        scenario_start_job (scenario, rest.words[0], verbs[i].run, &rest);
        return;
      }
  scenario_fail (scenario, "start needs a verb and a name");
}

void
verb_finish (scenario_t *scenario, const words_t *words)
{
  for (job_t **link = &scenario->jobs; *link != NULL; link = &(*link)->next)
    {
      job_t *job = *link;
      if (strcmp (job->name, words->words[0]) != 0)
        continue;
      pthread_join (job->thread, NULL);
      *link = job->next;
      free_words (&job->words);
      free (job);
      return;
    }
  scenario_fail (scenario, "no background job is named %s", words->words[0]);
}

static void
run_line (scenario_t *scenario, char *line)
{
  words_t words;
  split_line (scenario, line, &words);
  if (words.count == 0 || scenario->failed)
    {
      free_words (&words);
      return;
    }
  words_t rest = { 0 };
  for (int i = 1; i < words.count; i++)
    rest.words[rest.count++] = words.words[i];
  size_t i = 0;
  while (i < VERB_COUNT && strcmp (verbs[i].name, words.words[0]) != 0)
    i++;
  if (i == VERB_COUNT)
    scenario_fail (scenario, "unknown verb %s", words.words[0]);
  else
    verbs[i].run (scenario, &rest);
  free_words (&words);
}

static void
run_file (scenario_t *scenario, FILE *stream)
{
  char *line = NULL;
  size_t size = 0;
  cs_buf_t joined = { 0 };
  ssize_t len;
  while (!scenario->failed && (len = getline (&line, &size, stream)) >= 0)
    {
      scenario->line++;
      while (len > 0 && (line[len - 1] == '\n' || line[len - 1] == ' '))
        line[--len] = '\0';
      /* A line that ends in \ continues on the next one.  */
      bool continued = len > 0 && line[len - 1] == '\\';
      if (continued)
        line[--len] = '\0';
      cs_buf_append (&joined, cs_str (line));
      if (continued)
        continue;
      run_line (scenario, joined.data);
      cs_buf_clear (&joined);
    }
  free (line);
  cs_buf_free (&joined);
}

/* include FILE: runs a file.  The path is relative to tests/scenarios.  */
void
verb_include (scenario_t *scenario, const words_t *words)
{
  char file[512];
  unsigned line = scenario->line;
  snprintf (file, sizeof file, "tests/scenarios/%s", words->words[0]);
  FILE *stream = fopen (file, "r");
  if (stream == NULL)
    {
      scenario_fail (scenario, "cannot open %s", file);
      return;
    }
  scenario->line = 0;
  run_file (scenario, stream);
  scenario->line = line;
  fclose (stream);
}

static void
print_logs (const scenario_t *scenario)
{
  char line[1024];
  for (const process_t *p = scenario->processes; p != NULL; p = p->next)
    {
      FILE *log = fopen (p->log, "r");
      printf ("--- %s\n", p->name);
      while (log != NULL && fgets (line, sizeof line, log) != NULL)
        fputs (line, stdout);
      if (log != NULL)
        fclose (log);
    }
}

static void
free_scenario (scenario_t *scenario)
{
  variable_t *variable, *next_variable;
  HASH_ITER (hh, scenario->variables, variable, next_variable)
  {
    HASH_DEL (scenario->variables, variable);
    free (variable->name);
    free (variable->value);
    free (variable);
  }
  while (scenario->processes != NULL)
    {
      process_t *process = scenario->processes;
      scenario->processes = process->next;
      free (process);
    }
  cs_buf_free (&scenario->transcript);
}

int
main (int argc, char **argv)
{
  scenario_t scenario = { .folder = "/tmp/cranberrystile-XXXXXX" };
  if (argc < 3)
    {
      fprintf (stderr, "usage: scenario BUILD FILE.scn [--update]\n");
      return 2;
    }
  scenario.build = argv[1];
  scenario.file = argv[2];
  scenario.update = argc > 3 && strcmp (argv[3], "--update") == 0;
  FILE *stream = fopen (scenario.file, "r");
  if (stream == NULL || mkdtemp (scenario.folder) == NULL)
    {
      fprintf (stderr, "cannot open %s\n", scenario.file);
      return 2;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  run_file (&scenario, stream);
  fclose (stream);
  while (scenario.jobs != NULL)
    {
      words_t name = { 1, { scenario.jobs->name } };
      verb_finish (&scenario, &name);
    }
  scenario_kill_processes (&scenario);
  scenario_destroy_decision (&scenario);
  if (scenario.failed)
    print_logs (&scenario);
  free_scenario (&scenario);
  curl_global_cleanup ();
  return scenario.failed ? 1 : 0;
}
