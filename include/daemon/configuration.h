/* The release in force on this router.  Readers take no lock: the snapshot is
   read under RCU and replaced whole.  The revision only rises.  */

#ifndef CS_DAEMON_CONFIGURATION_H
#define CS_DAEMON_CONFIGURATION_H

#include <stdbool.h>

#include "cranberrystile/release.h"

typedef struct cs_configuration cs_configuration_t;

/* Called after a newer release came into force, one call at a time.  */
typedef void cs_configuration_changed_fn (void *context,
                                          const cs_release_t *release);

cs_configuration_t *
cs_configuration_create (cs_configuration_changed_fn *changed, void *context);
void cs_configuration_destroy (cs_configuration_t *configuration);

/* Takes over RELEASE if it is newer than the one in force, else destroys it.
   Returns whether it came into force.  */
bool cs_configuration_install (cs_configuration_t *configuration,
                               cs_release_t *release);

/* Applies NOTE if it leads from the revision in force to REVISION.  Returns 0,
   CS_ERR_CONFLICT when it does not follow, or CS_ERR_BAD_RELEASE.  */
int cs_configuration_install_note (cs_configuration_t *configuration,
                                   uint64_t revision, const json_t *note);

/* 0 until a release is in force.  */
uint64_t cs_configuration_revision (cs_configuration_t *configuration);

/* Whether any release, also an empty one of revision 0, was learned.  */
bool cs_configuration_is_known (cs_configuration_t *configuration);

/* Copies of entries; return false when there is none.  */
bool cs_configuration_offering (cs_configuration_t *configuration,
                                cs_str_t name, cs_offering_t *out);
bool cs_configuration_organisation (cs_configuration_t *configuration,
                                    cs_str_t api_key, cs_organisation_t *out);

/* The region of DATA_CENTRE in the release in force.  */
void cs_configuration_region (cs_configuration_t *configuration,
                              cs_str_t data_centre, cs_name_t *out);

/* Copies of all offerings; the caller frees *OUT.  Returns how many.  */
size_t cs_configuration_offerings (cs_configuration_t *configuration,
                                   cs_offering_t **out);

/* A deep copy of the document in force, and its revision.  NULL before the
   first release.  */
json_t *cs_configuration_document (cs_configuration_t *configuration,
                                   uint64_t *revision);

/* The notes of recent releases, kept for peers that are a little behind.  A
   new reference, or NULL when REVISION is not kept.  */
json_t *cs_configuration_note (cs_configuration_t *configuration,
                               uint64_t revision);

#endif
