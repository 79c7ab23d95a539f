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

/* Appends DIFFERENCE as a line to OUT.  Returns 0 or CS_ERR_NO_MEMORY.  */
static int
write_difference (const cs_difference_t *difference, cs_buf_t *out)
{
  bool is_named = difference->name[0] != '\0';
  bool is_whole = difference->property == NULL;
  const char *old_text = difference->old_text;
  const char *new_text = difference->new_text;
  int rc = cs_buf_printf (
      out, "%s: %s%s%s%s%s%s", change_text (difference->change),
      part_text (difference->part), is_named ? " \"" : "", difference->name,
      is_named ? "\"" : "", is_whole ? "" : ", ",
      is_whole ? "" : difference->property);
  if (rc == 0 && old_text != NULL && new_text != NULL)
    return cs_buf_printf (out, ": was %s, is %s", old_text, new_text);
  if (rc == 0 && (old_text != NULL || new_text != NULL))
    return cs_buf_printf (out, ": %s", old_text != NULL ? old_text : new_text);
  return rc;
}

/* Prints LINE and empties it.  Control characters, which names may contain,
   are replaced, so that each entry is one line.  */
static void
print_line (cs_buf_t *line)
{
  for (size_t i = 0; i < line->len; i++)
    if ((unsigned char)line->data[i] < ' ' || line->data[i] == '\x7f')
      line->data[i] = '?';
  printf ("%s\n", line->data);
  cs_buf_clear (line);
}

int
cs_check_print_text (const cs_findings_t *findings)
{
  cs_buf_t line = { 0 };
  int rc = findings->out_of_memory ? CS_ERR_NO_MEMORY : CS_OK;
  for (size_t i = 0; rc == 0 && i < findings->finding_count; i++)
    {
      const cs_finding_t *finding = &findings->findings[i];
      rc = cs_buf_printf (&line, "%s: %s: %s (%s)",
                          severity_text (finding->severity), finding->path,
                          finding->message, finding->code);
      if (rc == 0)
        print_line (&line);
    }
  for (size_t i = 0; rc == 0 && i < findings->difference_count; i++)
    {
      rc = write_difference (&findings->differences[i], &line);
      if (rc == 0)
        print_line (&line);
    }
  cs_buf_free (&line);
  if (rc == 0)
    printf ("%s: errors %zu, warnings %zu, differences %zu\n",
            result_text (findings),
            cs_findings_count (findings, CS_SEVERITY_ERROR),
            cs_findings_count (findings, CS_SEVERITY_WARNING),
            findings->difference_count);
  return rc;
}

/* Returns the string TEXT, or null.  */
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
