/* The options and operands of one subcommand.  */

#ifndef CS_CTL_OPTIONS_H
#define CS_CTL_OPTIONS_H

#include <stdint.h>

#include <jansson.h>

#include "api/client.h"
#include "common/program_options.h"
#include "cranberrystile/release.h"

#define CS_EXIT_FAILED 1
#define CS_EXIT_CONFLICT 3
#define CS_EXIT_UNKNOWN 4

#define CS_OPERANDS_MAX 8

typedef struct
{
  const char *platform;   /* --platform */
  const char *name_space; /* --namespace */
  const char *token;      /* --token */
  const char *host;       /* --host: operator address of a daemon */
  const char *key;        /* --key */
  const char *user;       /* --user: name for the audit trail */
  const char *operation;  /* --operation: id of a release, made if absent */
  const char *operands[CS_OPERANDS_MAX];
  int operand_count;
} cs_options_t;

/* Parses the arguments after the subcommand's name.  Returns -1 to go on, or
   the exit status after --help or bad use.  */
int cs_options_parse (const char *command, const char *operand_help,
                      int operands_least, int operands_most, int argc,
                      char **argv, cs_options_t *out);

/* A client for --platform, or NULL after a message.  */
cs_platform_t *cs_options_platform (const cs_options_t *options);

/* Reads a JSON file, or standard input for "-".  NULL after a message.  */
json_t *cs_read_json (const char *file);

/* Prints why a release was refused, and returns the exit status.  */
int cs_report_error (const char *what, int error, const cs_buf_t *reason);

#endif
