/* check NOTE [DOCUMENT]: validates a release note against DOCUMENT, the newest
   release in the platform, or an empty release.  The routers validate releases
   with the same code.  With --routing, it checks a configuration instead; see
   check_routing.c.  */

#include <stdio.h>
#include <string.h>

#include "api/release_store.h"
#include "ctl/commands.h"
#include "ctl/options.h"

static int
load_base (const cs_options_t *options, cs_release_t **base, cs_buf_t *reason)
{
  if (options->operand_count > 1)
    {
      json_t *document = cs_read_json (options->operands[1]);
      if (document == NULL)
        return CS_ERR_BAD_RELEASE;
      int rc = cs_release_create (0, document, base, reason);
      json_decref (document);
      return rc;
    }
  if (options->platform == NULL)
    {
      *base = cs_release_create_empty ();
      return *base == NULL ? CS_ERR_NO_MEMORY : 0;
    }
  cs_platform_t *platform = cs_options_create_platform (options);
  if (platform == NULL)
    return CS_ERR_NO_MEMORY;
  int rc = cs_release_store_load (platform, NULL, base, reason);
  cs_platform_destroy (platform);
  return rc;
}

static bool
has_routing_option (int argc, char **argv)
{
  static const char option[] = "--routing";
  for (int i = 1; i < argc; i++)
    if (strncmp (argv[i], option, sizeof option - 1) == 0)
      return true;
  return false;
}

int
cs_command_check (int argc, char **argv)
{
  if (has_routing_option (argc, argv))
    return cs_command_check_routing (argc, argv);
  cs_options_t options;
  cs_release_t *base = NULL;
  cs_release_t *next = NULL;
  cs_buf_t reason = { 0 };
  int status = cs_options_parse ("check", "NOTE", 1, 2, argc, argv, &options);
  if (status >= 0)
    return status;
  json_t *note = cs_read_json (options.operands[0]);
  if (note == NULL)
    return CS_EXIT_FAILED;
  int rc = load_base (&options, &base, &reason);
  if (rc == 0)
    rc = cs_release_apply (base, note, &next, &reason);
  if (rc == 0)
    printf ("good: would become revision %llu\n",
            (unsigned long long)cs_release_revision (next));
  else
    status = cs_report_error (options.operands[0], rc, &reason);
  cs_release_destroy (base);
  cs_release_destroy (next);
  json_decref (note);
  cs_buf_free (&reason);
  return rc == 0 ? 0 : status;
}
