/* Releases in the platform.

   Accepting revision N is the conditional create of the object "release-N".
   The sequence of these objects is the audit trail.  The object "current" of
   kind Snapshot holds the document of some revision not long past, so that
   reading up is bounded.  */

#ifndef CS_RELEASE_STORE_H
#define CS_RELEASE_STORE_H

#include "api/client.h"
#include "cranberrystile/release.h"

/* The snapshot is renewed when it is this many revisions behind.  */
#define CS_SNAPSHOT_INTERVAL 16

/* Who made a release, when, by which operation, and its note.  */
typedef struct
{
  uint64_t revision;
  cs_name_t operator_name;
  cs_name_t operation; /* unique id, to find out about a lost answer */
  uint64_t wall_ms;
  char version[32]; /* of the object; watches go on from it */
  json_t *note;     /* owned */
} cs_release_record_t;

void cs_release_record_free (cs_release_record_t *record);

/* Reads an object of kind Release.  Returns 0 or CS_ERR_WRONG_ANSWER.  */
int cs_release_record_read (const json_t *object, cs_release_record_t *out);

/* Reads the record of REVISION.  */
int cs_release_store_get (cs_platform_t *platform, uint64_t revision,
                          cs_release_record_t *out);

/* Reads up to the newest release, from BASE when it is not NULL.  The caller
   owns *OUT, which is NULL when nothing is newer than BASE.  */
int cs_release_store_load (cs_platform_t *platform, const cs_release_t *base,
                           cs_release_t **out, cs_buf_t *reason);

/* Accepts NOTE as the release after BASE.  On success *OUT is the new release.
   CS_ERR_CONFLICT: another release came first.  A lost answer is settled by
   reading the object back; CS_ERR_PLATFORM_DOWN: that failed as well, and the
   outcome is not known.  */
int cs_release_store_accept (cs_platform_t *platform, const cs_release_t *base,
                             const cs_release_record_t *record,
                             cs_release_t **out, cs_buf_t *reason);

/* Renews the snapshot if RELEASE is far enough ahead of it.  */
int cs_release_store_snapshot (cs_platform_t *platform,
                               const cs_release_t *release);

#endif
