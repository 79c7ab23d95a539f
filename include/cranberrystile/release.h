/* Releases: the configuration of the fleet as an immutable, checked snapshot,
   and the notes (added, changed, withdrawn) that lead from one to the next.

   A snapshot document is a JSON object with the arrays "data_centres",
   "organisations", "offerings" and "targets"; entries are identified by
   "name".  A note is an
   object with any of "added", "changed" (entries) and "withdrawn" (names).  */

#ifndef CS_RELEASE_H
#define CS_RELEASE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

typedef struct
{
  cs_name_t name;
  char key_sha256[65]; /* hash of the API key, lower-case hex */
  uint32_t weight;     /* share of a contended pool, at least 1 */
  uint32_t rate;       /* requests per second per router; 0 is unlimited */
  uint32_t burst;      /* requests */
} cs_organisation_t;

/* Data centres of one region are near enough to share their targets.  One
   that is not listed is a region of its own.  */
typedef struct
{
  cs_name_t name;
  cs_name_t region;
} cs_data_centre_t;

/* A model or a plain service that callers can ask for.  */
typedef struct
{
  cs_name_t name;
  bool is_service;
  bool idempotent;           /* its calls may be repeated */
  uint32_t cap_percent;      /* cap on a target's load, percent of the mean */
  uint32_t min_live_percent; /* share of its targets kept loaded by orders */
} cs_offering_t;

typedef struct
{
  cs_name_t name;
  cs_name_t offering;
  cs_name_t data_centre;
  cs_name_t address;   /* IP number and port */
  uint32_t slots;      /* most calls at one time */
  bool checks_fencing; /* refuses orders with an old fencing number */
  cs_name_t version;   /* version that the target should have loaded */
} cs_target_t;

/* A checked snapshot.  Immutable; may be shared between threads.  */
typedef struct cs_release cs_release_t;

/* Creates a snapshot from DOCUMENT, which is not consumed.  On a bad document
   returns CS_ERR_BAD_RELEASE and appends the reason to REASON.  The caller
   owns *OUT.  */
int cs_release_create (uint64_t revision, const json_t *document,
                       cs_release_t **out, cs_buf_t *reason);

/* An empty snapshot of revision 0.  */
cs_release_t *cs_release_create_empty (void);
void cs_release_destroy (cs_release_t *release);

/* Creates the snapshot that NOTE makes of BASE, one revision higher.  Errors
   as cs_release_create; a bad note is refused whole.  */
int cs_release_apply (const cs_release_t *base, const json_t *note,
                      cs_release_t **out, cs_buf_t *reason);

uint64_t cs_release_revision (const cs_release_t *release);

/* Borrowed from the snapshot.  */
const json_t *cs_release_document (const cs_release_t *release);

/* Borrowed arrays, sorted by name.  */
const cs_organisation_t *cs_release_organisations (const cs_release_t *release,
                                                   size_t *count);
const cs_offering_t *cs_release_offerings (const cs_release_t *release,
                                           size_t *count);
const cs_target_t *cs_release_targets (const cs_release_t *release,
                                       size_t *count);

const cs_data_centre_t *cs_release_data_centres (const cs_release_t *release,
                                                 size_t *count);

/* The region of DATA_CENTRE.  */
void cs_release_region_of (const cs_release_t *release, cs_str_t data_centre,
                           cs_name_t *out);

/* Both return NULL when there is none.  */
const cs_offering_t *cs_release_find_offering (const cs_release_t *release,
                                               cs_str_t name);
const cs_organisation_t *
cs_release_find_organisation_by_key (const cs_release_t *release,
                                     cs_str_t api_key);

#endif
