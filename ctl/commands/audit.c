/* audit [FROM [TO]]: prints who changed what and when.  */

#include <stdio.h>

#include "ctl/commands.h"
#include "ctl/options.h"
#include "trail.h"

static int
read_range (const cs_options_t *options, uint64_t *from, uint64_t *to)
{
  *from = 1;
  *to = UINT64_MAX;
  if (options->operand_count > 0
      && cs_str_to_u64 (cs_str (options->operands[0]), from) != 0)
    return CS_ERR_BAD_REQUEST;
  if (options->operand_count > 1
      && cs_str_to_u64 (cs_str (options->operands[1]), to) != 0)
    return CS_ERR_BAD_REQUEST;
  return *from == 0 ? CS_ERR_BAD_REQUEST : 0;
}

int
cs_command_audit (int argc, char **argv)
{
  cs_options_t options;
  uint64_t from, to;
  cs_buf_t no_reason = { 0 };
  int rc = 0;
  int status
      = cs_options_parse ("audit", "REVISION", 0, 2, argc, argv, &options);
  if (status >= 0)
    return status;
  if (read_range (&options, &from, &to) != 0)
    {
      fprintf (stderr, "cranberrystilectl audit: invalid revision\n");
      return CS_EXIT_USAGE;
    }
  cs_platform_t *platform = cs_options_create_platform (&options);
  if (platform == NULL)
    return CS_EXIT_USAGE;
  for (uint64_t i = from; rc == 0 && i <= to; i++)
    {
      cs_release_record_t record;
      rc = cs_release_store_get (platform, i, &record);
      if (rc != 0)
        break;
      cs_trail_print_summary (&record);
      cs_trail_print_changes (&record);
      cs_release_record_free (&record);
    }
  cs_platform_destroy (platform);
  if (rc == 0 || rc == CS_ERR_NOT_FOUND)
    return 0;
  return cs_report_error ("audit", rc, &no_reason);
}
