/* Parses and validates the sections of a release document.  Each function
   allocates *OUT, sorted by name, which the caller frees even after an error.
   For an invalid entry it returns CS_ERR_BAD_RELEASE and appends the reason to
   REASON.  */

#ifndef CS_RELEASE_READ_H
#define CS_RELEASE_READ_H

#include "cranberrystile/release.h"

/* As cs_release_create, but takes ownership of DOCUMENT, also on error.  */
int cs_release_create_owned (uint64_t revision, json_t *document,
                             cs_release_t **out, cs_buf_t *reason);

/* Rejects unknown sections, and sections that are not arrays.  */
int cs_release_read_sections (const json_t *document, cs_buf_t *reason);

int cs_release_read_data_centres (const json_t *array, cs_data_centre_t **out,
                                  size_t *count, cs_buf_t *reason);
int cs_release_read_organisations (const json_t *array,
                                   cs_organisation_t **out, size_t *count,
                                   cs_buf_t *reason);
int cs_release_read_offerings (const json_t *array, cs_offering_t **out,
                               size_t *count, cs_buf_t *reason);
int cs_release_read_targets (const json_t *array, cs_target_t **out,
                             size_t *count, cs_buf_t *reason);

#endif
