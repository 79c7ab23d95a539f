#include "cranberrystile/findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Makes room in ITEMS, of which COUNT of SIZE bytes each are used, for one
   more.  Returns the new item, zeroed, or NULL.  */
static void *
append_item (void **items, size_t *count, size_t size)
{
  char *grown = realloc (*items, (*count + 1) * size);
  if (grown == NULL)
    return NULL;
  *items = grown;
  char *item = grown + *count * size;
  memset (item, 0, size);
  ++*count;
  return item;
}

static cs_finding_t *
append_finding (cs_findings_t *findings, const char *format, va_list arguments)
{
  char *message = NULL;
  if (vasprintf (&message, format, arguments) < 0)
    return NULL;
  cs_finding_t *finding = append_item (
      (void **)&findings->findings, &findings->finding_count, sizeof *finding);
  if (finding == NULL)
    free (message);
  else
    finding->message = message;
  return finding;
}

void
cs_findings_add (cs_findings_t *findings, cs_severity_t severity,
                 const char *code, cs_place_t place, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  cs_finding_t *finding = append_finding (findings, format, arguments);
  va_end (arguments);
  if (finding == NULL)
    {
      findings->out_of_memory = true;
      return;
    }
  finding->severity = severity;
  finding->code = code;
  finding->place = place;
}

void
cs_findings_add_at (cs_findings_t *findings, cs_severity_t severity,
                    const char *code, const char *path, const char *format,
                    ...)
{
  va_list arguments;
  va_start (arguments, format);
  cs_finding_t *finding = append_finding (findings, format, arguments);
  va_end (arguments);
  if (finding == NULL)
    {
      findings->out_of_memory = true;
      return;
    }
  finding->severity = severity;
  finding->code = code;
  finding->path = strdup (path);
  if (finding->path == NULL)
    findings->out_of_memory = true;
}

/* Returns a copy of TEXT, or NULL if TEXT is NULL or memory is exhausted.  */
static char *
copy_text (cs_findings_t *findings, const char *text)
{
  char *copy = text == NULL ? NULL : strdup (text);
  if (text != NULL && copy == NULL)
    findings->out_of_memory = true;
  return copy;
}

void
cs_findings_add_difference (cs_findings_t *findings, cs_change_t change,
                            cs_part_t part, cs_str_t name,
                            const char *property, const char *old,
                            const char *new)
{
  cs_difference_t *difference
      = append_item ((void **)&findings->differences,
                     &findings->difference_count, sizeof *difference);
  if (difference == NULL)
    {
      findings->out_of_memory = true;
      return;
    }
  difference->change = change;
  difference->part = part;
  difference->name = strndup (name.len == 0 ? "" : name.data, name.len);
  if (difference->name == NULL)
    findings->out_of_memory = true;
  difference->property = copy_text (findings, property);
  difference->old_text = copy_text (findings, old);
  difference->new_text = copy_text (findings, new);
}

size_t
cs_findings_count (const cs_findings_t *findings, cs_severity_t severity)
{
  size_t count = 0;
  for (size_t i = 0; i < findings->finding_count; i++)
    if (findings->findings[i].severity == severity)
      count++;
  return count;
}

void
cs_findings_free (cs_findings_t *findings)
{
  for (size_t i = 0; i < findings->finding_count; i++)
    {
      free (findings->findings[i].path);
      free (findings->findings[i].message);
    }
  for (size_t i = 0; i < findings->difference_count; i++)
    {
      free (findings->differences[i].name);
      free (findings->differences[i].property);
      free (findings->differences[i].old_text);
      free (findings->differences[i].new_text);
    }
  free (findings->findings);
  free (findings->differences);
  *findings = (cs_findings_t){ 0 };
}
