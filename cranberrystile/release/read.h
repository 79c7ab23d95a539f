/* Reads and checks the sections of a release document.  Each reader allocates
   *OUT, sorted by name, which the caller frees also after an error; on a bad
   entry it returns CS_ERR_BAD_RELEASE and appends the reason to REASON.  */

#ifndef CS_RELEASE_READ_H
#define CS_RELEASE_READ_H

#include "cranberrystile/release.h"

/* As cs_release_create, but takes over DOCUMENT in each case.  */
int cs_release_take (uint64_t revision, json_t *document, cs_release_t **out,
                     cs_buf_t *reason);

/* Refuses anything but the known sections, each an array.  */
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
