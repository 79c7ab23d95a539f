#include "check_report.h"

#include <stdio.h>

#include <jansson.h>

#include "common/error.h"

static const char *
severity_text (cs_severity_t severity)
{
  return severity == CS_SEVERITY_ERROR ? "error" : "warning";
}

static const char *
change_text (cs_change_t change)
{
  switch (change)
    {
    case CS_CHANGE_ADDED:
      return "added";
    case CS_CHANGE_REMOVED:
      return "removed";
    case CS_CHANGE_CHANGED:
      break;
    }
  return "changed";
}

static const char *
part_text (cs_part_t part)
{
  switch (part)
    {
    case CS_PART_ROUTE:
      return "route";
    case CS_PART_SERVICE:
      return "service";
    case CS_PART_ORGANISATION:
      return "organisation";
    case CS_PART_LIMITS:
      return "limits for callers";
    case CS_PART_DOCUMENT:
      break;
    }
  return "configuration";
}

static const char *
result_text (const cs_findings_t *findings)
{
  if (cs_findings_count (findings, CS_SEVERITY_ERROR) > 0)
    return "errors";
  return cs_findings_count (findings, CS_SEVERITY_WARNING) > 0 ? "warnings"
                                                               : "sound";
}

static void
print_difference (const cs_difference_t *difference)
{
  printf ("%s: %s", change_text (difference->change),
          part_text (difference->part));
  if (difference->name[0] != '\0')
    printf (" \"%s\"", difference->name);
  if (difference->property != NULL)
    printf (", %s", difference->property);
  if (difference->old_text != NULL && difference->new_text != NULL)
    printf (": was %s, is %s", difference->old_text, difference->new_text);
  else if (difference->old_text != NULL || difference->new_text != NULL)
    printf (": %s", difference->old_text != NULL ? difference->old_text
                                                 : difference->new_text);
  printf ("\n");
}

int
cs_check_print_text (const cs_findings_t *findings)
{
  if (findings->out_of_memory)
    return CS_ERR_NO_MEMORY;
  for (size_t i = 0; i < findings->finding_count; i++)
    {
      const cs_finding_t *finding = &findings->findings[i];
      printf ("%s: %s: %s (%s)\n", severity_text (finding->severity),
              finding->path, finding->message, finding->code);
    }
  for (size_t i = 0; i < findings->difference_count; i++)
    print_difference (&findings->differences[i]);
  printf ("%s: errors %zu, warnings %zu, differences %zu\n",
          result_text (findings),
          cs_findings_count (findings, CS_SEVERITY_ERROR),
          cs_findings_count (findings, CS_SEVERITY_WARNING),
          findings->difference_count);
  return CS_OK;
}

/* Returns the string TEXT, or null.  Bytes that aren't UTF-8 can't occur: all
   texts come from JSON.  */
static json_t *
text_or_null (const char *text)
{
  return text == NULL ? json_null () : json_string (text);
}

static json_t *
finding_json (const cs_finding_t *finding)
{
  return json_pack ("{ss ss ss ss}", "severity",
                    severity_text (finding->severity), "code", finding->code,
                    "place", finding->path, "message", finding->message);
}

static json_t *
difference_json (const cs_difference_t *difference)
{
  return json_pack ("{ss ss ss so so so}", "change",
                    change_text (difference->change), "part",
                    part_text (difference->part), "name", difference->name,
                    "property", text_or_null (difference->property), "old",
                    text_or_null (difference->old_text), "new",
                    text_or_null (difference->new_text));
}

int
cs_check_print_json (const cs_findings_t *findings)
{
  int rc = CS_ERR_NO_MEMORY;
  json_t *list = json_array ();
  json_t *differences = json_array ();
  json_t *report = NULL;
  if (findings->out_of_memory)
    goto out;
  for (size_t i = 0; i < findings->finding_count; i++)
    if (json_array_append_new (list, finding_json (&findings->findings[i]))
        != 0)
      goto out;
  for (size_t i = 0; i < findings->difference_count; i++)
    if (json_array_append_new (differences,
                               difference_json (&findings->differences[i]))
        != 0)
      goto out;
  report = json_pack ("{ss sO sO}", "result", result_text (findings),
                      "findings", list, "differences", differences);
  if (report == NULL || json_dumpf (report, stdout, JSON_INDENT (2)) != 0)
    goto out;
  printf ("\n");
  rc = CS_OK;
out:
  json_decref (report);
  json_decref (list);
  json_decref (differences);
  return rc;
}
