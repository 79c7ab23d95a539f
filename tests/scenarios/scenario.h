/* The scenario runner: executes scenario files, which have one verb per line.
   See tests/scenarios/README.md.  */

#ifndef CS_SCENARIO_H
#define CS_SCENARIO_H

#include <pthread.h>
#include <stdbool.h>
#include <sys/types.h>

#include <uthash.h>

#include "common/str.h"

#define MAX_WORDS 48

/* The value that replaces $NAME in later lines.  */
typedef struct
{
  char *name;
  char *value;
  UT_hash_handle hh;
} variable_t;

typedef struct process
{
  char name[64];
  pid_t pid;
  bool running;
  int status;    /* from waitpid, valid once RUNNING is false */
  char log[512]; /* path of its output */
  struct process *next;
} process_t;

typedef struct job job_t;

typedef struct
{
  const char *build; /* build folder */
  const char *file;
  bool update; /* write golden files instead of comparing */
  unsigned line;
  char folder[256]; /* temporary; holds settings, notes and logs */
  variable_t *variables;
  process_t *processes;
  job_t *jobs;
  cs_buf_t transcript;
  void *decision; /* state of the decision verbs, or NULL */
  bool failed;
} scenario_t;

/* The words of a line after its verb, with variables expanded.  */
typedef struct
{
  int count;
  char *words[MAX_WORDS];
} words_t;

typedef void verb_fn (scenario_t *scenario, const words_t *words);

typedef struct
{
  const char *name;
  verb_fn *run;
} verb_t;

verb_fn verb_apply, verb_at, verb_ask, verb_chats, verb_control, verb_ctl,
    verb_drop, verb_expect, verb_finish, verb_get, verb_golden,
    verb_handed_over, verb_include, verb_log_has, verb_note, verb_platform,
    verb_pool, verb_print, verb_print_lines, verb_raw, verb_recover,
    verb_release, verb_request, verb_router, verb_router_refuses, verb_signal,
    verb_sleep, verb_start, verb_stopped, verb_target, verb_tick,
    verb_transcript, verb_engine, verb_wait;

/* Prints an error for the current line and marks the scenario as failed.  */
void scenario_fail (scenario_t *scenario, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Variables.  scenario_get returns a borrowed value that is valid until the
   variable is set again, or NULL.  */
void scenario_set (scenario_t *scenario, const char *name, const char *value);
const char *scenario_get (const scenario_t *scenario, const char *name);

/* Returns VALUE of the word KEY=VALUE, or FALLBACK if no word has KEY.  The
   string is borrowed from WORDS.  */
const char *words_option (const words_t *words, const char *key,
                          const char *fallback);
long words_number (const words_t *words, const char *key, long fallback);

/* Runs RUN with a copy of WORDS in a new thread, which the verb finish joins
   by NAME.  */
void scenario_start_job (scenario_t *scenario, const char *name, verb_fn *run,
                         const words_t *words);
/* Guards the variables, the transcript and the output of the scenario, which
   jobs share.  */
void scenario_lock (void);
void scenario_unlock (void);

/* Kills and reaps all processes that are still running.  */
void scenario_kill_processes (scenario_t *scenario);
void scenario_destroy_decision (scenario_t *scenario);

typedef struct
{
  const char *method;
  const char *url;
  const char *headers[16]; /* terminated by NULL */
  const char *body;        /* or NULL */
  long timeout_ms;
} http_request_t;

/* Sends REQUEST and appends the response to HEADERS and BODY.  Returns the
   HTTP status, or 0 without a response.  COMPLETE is set to whether the
   response was received in full.  */
int http_run (const http_request_t *request, cs_buf_t *headers, cs_buf_t *body,
              bool *complete);

#endif
