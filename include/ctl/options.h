/* Options and operands of the subcommands, and helpers that they share.  */

#ifndef CS_CTL_OPTIONS_H
#define CS_CTL_OPTIONS_H

#include <stdint.h>

#include <jansson.h>

#include "api/client.h"
#include "common/program_options.h"
#include "cranberrystile/release.h"

/* Exit statuses besides 0 and CS_EXIT_USAGE.  */
#define CS_EXIT_FAILED 1
#define CS_EXIT_CONFLICT 3        /* another release was accepted first */
#define CS_EXIT_OUTCOME_UNKNOWN 4 /* the platform did not respond */

#define CS_MAX_OPERANDS 8

typedef struct
{
  const char *platform;   /* --platform */
  const char *name_space; /* --namespace */
  const char *token;      /* --token */
  const char *host;       /* --host: operator port of a router */
  const char *key;        /* --key: operator key of the router */
  const char *user;       /* --user: name for the audit trail */
  const char *operation;  /* --operation: id of an apply; random if NULL */
  const char *operands[CS_MAX_OPERANDS];
  int operand_count;
} cs_options_t;

/* Parses the arguments of the subcommand COMMAND; ARGV starts with its name.
   OPERAND_HELP is the operands' text in --help, or NULL.  The strings in OUT
   are owned by ARGV or the environment.  Returns -1 if the subcommand should
   run, or else the exit status, after --help or invalid usage.  */
int cs_options_parse (const char *command, const char *operand_help,
                      int min_operands, int max_operands, int argc,
                      char **argv, cs_options_t *out);

/* Creates a client for --platform, owned by the caller.  Prints a message and
   returns NULL if --platform is missing; returns NULL for an invalid address
   or when out of memory.  */
cs_platform_t *cs_options_create_platform (const cs_options_t *options);

/* Reads a JSON file, or standard input if FILE is "-".  The caller owns the
   value.  Prints a message and returns NULL on failure.  */
json_t *cs_read_json (const char *file);

/* Prints ERROR, which occurred on WHAT, with REASON unless it is empty.
   Returns the exit status for ERROR.  */
int cs_report_error (const char *what, int error, const cs_buf_t *reason);

#endif
