/* Releases: immutable, validated snapshots of the fleet's configuration, and
   the release notes (change sets) that lead from one snapshot to the next.

   A snapshot document is a JSON object with the arrays "data_centres",
   "organisations", "offerings" and "targets".  Entries are identified by
   "name".  A note is an object with any of "added" and "changed" (entries by
   section) and "withdrawn" (names by section).  */

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
  uint32_t weight;     /* share of a pool under contention, at least 1 */
  uint32_t rate;       /* requests per second per router; 0 is unlimited */
  uint32_t burst;      /* requests */
} cs_organisation_t;

/* Data centres of one region are close enough to share their targets.  A data
   centre that isn't listed forms a region of its own.  */
typedef struct
{
  cs_name_t name;
  cs_name_t region;
} cs_data_centre_t;

/* A model or a plain service that callers can request.  */
typedef struct
{
  cs_name_t name;
  bool is_service;
  bool idempotent;      /* calls may be retried */
  uint32_t cap_percent; /* cap on a target's load, in percent of the mean */
  uint32_t min_live_percent; /* of its targets, kept in service while others
                                load a version */
} cs_offering_t;

typedef struct
{
  cs_name_t name;
  cs_name_t offering;
  cs_name_t data_centre;
  cs_name_t address;   /* IP address and port */
  uint32_t slots;      /* max concurrent calls */
  bool checks_fencing; /* rejects orders with an old fencing token */
  cs_name_t version;   /* that the target should have loaded */
} cs_target_t;

/* A validated snapshot.  Immutable; may be shared between threads.  */
typedef struct cs_release cs_release_t;

/* Creates a snapshot from a copy of DOCUMENT.  Returns 0, CS_ERR_NO_MEMORY, or
   CS_ERR_BAD_RELEASE for an invalid document, with the reason appended to
   REASON.  The caller owns *OUT.  */
int cs_release_create (uint64_t revision, const json_t *document,
                       cs_release_t **out, cs_buf_t *reason);

/* Returns an empty snapshot of revision 0, or NULL if memory is
   exhausted.  */
cs_release_t *cs_release_create_empty (void);
void cs_release_destroy (cs_release_t *release);

/* Creates the snapshot that results from applying NOTE to BASE, one revision
   higher.  Errors as for cs_release_create; an invalid note is rejected as a
   whole.  */
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

/* Stores the region of DATA_CENTRE in OUT, or its own name if it isn't
   listed.  */
void cs_release_region_of (const cs_release_t *release, cs_str_t data_centre,
                           cs_name_t *out);

/* Both return NULL if there is none.  Borrowed from the snapshot.  */
const cs_offering_t *cs_release_find_offering (const cs_release_t *release,
                                               cs_str_t name);
const cs_organisation_t *
cs_release_find_organisation_by_key (const cs_release_t *release,
                                     cs_str_t api_key);

#endif
