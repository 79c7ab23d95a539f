/* Storage of releases in the platform.

   A release is accepted as revision N by creating the Release object that is
   named after N, which fails if that object exists.  The object holds a
   release note: the entries that the release adds, changes and withdraws.  The
   sequence of these objects is the audit trail.  The Snapshot object "current"
   holds the whole document of a recent revision, which bounds the number of
   releases that have to be read to load the newest one.  */

#ifndef CS_RELEASE_STORE_H
#define CS_RELEASE_STORE_H

#include "api/client.h"
#include "cranberrystile/release.h"

/* The snapshot is updated when it is this many revisions behind.  */
#define CS_SNAPSHOT_INTERVAL 16

/* An entry of the audit trail: a release note, and who applied it and when. */
typedef struct
{
  uint64_t revision;
  cs_name_t operator_name;
  cs_name_t operation; /* unique id; identifies the creator of the object after
                          a lost response */
  uint64_t wall_ms;    /* creation time, since the Unix epoch */
  char version[32]; /* resourceVersion of the object, to start a watch from */
  json_t *note;     /* owned; the changes since the previous revision */
} cs_release_record_t;

void cs_release_record_free (cs_release_record_t *record);

/* Parses an object of kind Release.  Returns 0 or CS_ERR_WRONG_ANSWER.  After
   success, free OUT with cs_release_record_free.  */
int cs_release_record_read (const json_t *object, cs_release_record_t *out);

/* Reads the record of REVISION.  Returns 0, CS_ERR_NOT_FOUND if there is no
   such revision, or another error.  After success, free OUT with
   cs_release_record_free.  */
int cs_release_store_get (cs_platform_t *platform, uint64_t revision,
                          cs_release_record_t *out);

/* Loads the newest release by applying all later ones to BASE, or to the
   snapshot if BASE is NULL.  Returns 0, CS_ERR_BAD_RELEASE for an error in a
   release, which REASON describes, CS_ERR_WRONG_ANSWER for a malformed object,
   or an error of cs_platform_get.  The caller owns *OUT, which is NULL on an
   error and if nothing is newer than BASE.  */
int cs_release_store_load (cs_platform_t *platform, const cs_release_t *base,
                           cs_release_t **out, cs_buf_t *reason);

/* Stores RECORD, whose revision is the one after BASE's.  On success *OUT is
   the new release, owned by the caller.  If the response to the write is lost,
   the object is read back to find out whether the write took effect.
   CS_ERR_CONFLICT: another release was accepted first.
   CS_ERR_PLATFORM_DOWN: reading back failed as well; the outcome is unknown.
   Another error: RECORD is not valid, as described in REASON, or the platform
   rejected it.  */
int cs_release_store_accept (cs_platform_t *platform, const cs_release_t *base,
                             const cs_release_record_t *record,
                             cs_release_t **out, cs_buf_t *reason);

/* Stores RELEASE as the snapshot if it is at least CS_SNAPSHOT_INTERVAL
   revisions ahead of the stored one.  Returns 0 also if it is not, or an error
   of cs_platform_get, cs_platform_replace or cs_platform_create_object.  */
int cs_release_store_snapshot (cs_platform_t *platform,
                               const cs_release_t *release);

#endif
