/* The scenario runner: one verb a line.  See tests/scenarios/README.md.  */

#ifndef CS_SCENARIO_H
#define CS_SCENARIO_H

#include <pthread.h>
#include <stdbool.h>
#include <sys/types.h>

#include <uthash.h>

#include "common/str.h"

#define WORDS_MAX 48

/* Name=value, for $name in later lines.  */
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
  int status; /* from waitpid, once it has ended */
  char log[512];
  struct process *next;
} process_t;

typedef struct job job_t;

typedef struct
{
  const char *build; /* folder of the programs */
  const char *file;
  bool update; /* write golden files instead of comparing */
  unsigned line;
  char folder[256]; /* for settings, notes and logs */
  variable_t *variables;
  process_t *processes;
  job_t *jobs;
  cs_buf_t transcript;
  void *decision; /* state of the decision verbs */
  bool failed;
} scenario_t;

/* The words of one line after the verb, $names replaced.  */
typedef struct
{
  int count;
  char *words[WORDS_MAX];
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

/* Says what is wrong with the present line, and fails the scenario.  */
void scenario_fail (scenario_t *scenario, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

void scenario_set (scenario_t *scenario, const char *name, const char *value);
const char *scenario_get (const scenario_t *scenario, const char *name);

/* The value of the word KEY=VALUE, or FALLBACK.  */
const char *words_option (const words_t *words, const char *key,
                          const char *fallback);
long words_number (const words_t *words, const char *key, long fallback);

/* Runs a job in a thread under NAME, for the verb finish.  */
void scenario_start_job (scenario_t *scenario, const char *name, verb_fn *run,
                         const words_t *words);
void scenario_lock (void);
void scenario_unlock (void);

/* Ends all processes; returns false when one of them had to be told twice.  */
void scenario_end_processes (scenario_t *scenario);
void scenario_end_decision (scenario_t *scenario);

/* One HTTP exchange, into the buffers.  Returns the status, 0 when there was
   no answer.  WHOLE is set when the answer was complete.  */
typedef struct
{
  const char *method;
  const char *url;
  const char *headers[16]; /* NULL ends */
  const char *body;        /* or NULL */
  long timeout_ms;
} http_request_t;
int http_run (const http_request_t *request, cs_buf_t *headers, cs_buf_t *body,
              bool *whole);

#endif
