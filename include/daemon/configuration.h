/* The release in force on this router.  Readers take no lock: the snapshot is
   read under RCU and replaced by each newer one.  The revision only
   increases.  A note is the list of changes from one release to the next.  */

#ifndef CS_DAEMON_CONFIGURATION_H
#define CS_DAEMON_CONFIGURATION_H

#include <stdbool.h>

#include "cranberrystile/release.h"

typedef struct cs_configuration cs_configuration_t;

/* Called after a newer release has come into force; calls are serialised.  */
typedef void cs_configuration_changed_fn (void *context,
                                          const cs_release_t *release);

/* Returns NULL if memory is exhausted.  CHANGED is called with CONTEXT.  */
cs_configuration_t *
cs_configuration_create (cs_configuration_changed_fn *changed, void *context);
void cs_configuration_destroy (cs_configuration_t *configuration);

/* Takes ownership of RELEASE.  Puts it in force if it is newer than the one in
   force, else destroys it.  Returns whether it came into force.  */
bool cs_configuration_install (cs_configuration_t *configuration,
                               cs_release_t *release);

/* Applies NOTE, the changes that lead to REVISION.  Returns 0, CS_ERR_CONFLICT
   if REVISION is not the one after the release in force, or an error of
   cs_release_apply, which is logged.  */
int cs_configuration_install_note (cs_configuration_t *configuration,
                                   uint64_t revision, const json_t *note);

/* Returns the revision in force, 0 until there is one.  */
uint64_t cs_configuration_revision (cs_configuration_t *configuration);

/* Whether a release is in force, including an empty one of revision 0.  */
bool cs_configuration_has_release (cs_configuration_t *configuration);

/* Copy the entry with this name or API key to *OUT; return false if there is
   none.  */
bool cs_configuration_offering (cs_configuration_t *configuration,
                                cs_str_t name, cs_offering_t *out);
bool cs_configuration_organisation (cs_configuration_t *configuration,
                                    cs_str_t api_key, cs_organisation_t *out);

/* Sets *OUT to the region of DATA_CENTRE in the release in force, or to
   DATA_CENTRE if there is no release.  */
void cs_configuration_region (cs_configuration_t *configuration,
                              cs_str_t data_centre, cs_name_t *out);

/* Copies all offerings to *OUT, which the caller frees.  Returns their number.
 */
size_t cs_configuration_offerings (cs_configuration_t *configuration,
                                   cs_offering_t **out);

/* Returns a deep copy of the document of the release in force, and stores its
   revision.  NULL before the first release.  */
json_t *cs_configuration_document (cs_configuration_t *configuration,
                                   uint64_t *revision);

/* Returns a copy of the note that led to REVISION, or NULL if it is not stored
   any more.  Recent notes are stored for peers that are a few releases
   behind.  */
json_t *cs_configuration_note (cs_configuration_t *configuration,
                               uint64_t revision);

#endif
