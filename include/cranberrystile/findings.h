/* What the check of a configuration reports: findings, and the differences
   between two versions.  */

#ifndef CS_FINDINGS_H
#define CS_FINDINGS_H

#include <stdbool.h>
#include <stddef.h>

#include "common/str.h"

typedef enum
{
  CS_SEVERITY_WARNING, /* works, but probably not as intended */
  CS_SEVERITY_ERROR    /* is refused, or can't work as written */
} cs_severity_t;

/* The part of a configuration that a finding is about.  */
typedef enum
{
  CS_PART_DOCUMENT,
  CS_PART_ROUTE,
  CS_PART_SERVICE,
  CS_PART_ORGANISATION,
  CS_PART_LIMITS
} cs_part_t;

/* A field of such a part.  */
typedef enum
{
  CS_FIELD_NONE, /* the part as a whole */
  CS_FIELD_VERSION,
  CS_FIELD_NAME,
  CS_FIELD_HOST,
  CS_FIELD_PREFIX,
  CS_FIELD_WEIGHTS,
  CS_FIELD_TIMEOUT,
  CS_FIELD_OBJECTIVE,
  CS_FIELD_GAP_OBJECTIVE,
  CS_FIELD_ATTEMPTS,
  CS_FIELD_RESUMABLE,
  CS_FIELD_KEYS,
  CS_FIELD_REGIONS,
  CS_FIELD_HEAD_BYTES,
  CS_FIELD_BODY_BYTES,
  CS_FIELD_HEAD_TIMEOUT,
  CS_FIELD_IDLE_TIMEOUT,
  CS_FIELD_COUNT
} cs_field_t;

typedef struct
{
  cs_part_t part;
  size_t index; /* in the list of routes, services or organisations */
  cs_field_t field;
} cs_place_t;

typedef struct
{
  cs_severity_t severity;
  const char *code; /* stable; a static string */
  cs_place_t place;
  char *path; /* text of the place; NULL if only PLACE is known */
  char *message;
} cs_finding_t;

typedef enum
{
  CS_CHANGE_ADDED,
  CS_CHANGE_CHANGED,
  CS_CHANGE_REMOVED
} cs_change_t;

/* A part that was added or removed, or one property of it that changed.  */
typedef struct
{
  cs_change_t change;
  cs_part_t part;
  char *name;     /* of the part; empty for those that occur once */
  char *property; /* NULL if the part as a whole was added or removed */
  char *old_text; /* NULL unless a property changed or was removed */
  char *new_text; /* NULL unless a property changed or was added */
} cs_difference_t;

/* Zero-initialise; release with cs_findings_free.  */
typedef struct
{
  cs_finding_t *findings;
  size_t finding_count;
  cs_difference_t *differences;
  size_t difference_count;
  bool out_of_memory; /* an entry could not be added */
} cs_findings_t;

/* Adds a finding about PLACE.  Sets OUT_OF_MEMORY on failure.  */
void cs_findings_add (cs_findings_t *findings, cs_severity_t severity,
                      const char *code, cs_place_t place, const char *format,
                      ...) __attribute__ ((format (printf, 5, 6)));

/* Likewise, about the place that PATH describes.  */
void cs_findings_add_at (cs_findings_t *findings, cs_severity_t severity,
                         const char *code, const char *path,
                         const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/* Adds a difference in PROPERTY of the PART called NAME; all texts are copied.
   PROPERTY, OLD_TEXT and NEW_TEXT may be NULL.  Sets OUT_OF_MEMORY on failure.
 */
void cs_findings_add_difference (cs_findings_t *findings, cs_change_t change,
                                 cs_part_t part, cs_str_t name,
                                 const char *property, const char *old_text,
                                 const char *new_text);

/* Number of findings of SEVERITY.  */
size_t cs_findings_count (const cs_findings_t *findings,
                          cs_severity_t severity);

/* Frees the memory and makes FINDINGS empty.  */
void cs_findings_free (cs_findings_t *findings);

#endif
