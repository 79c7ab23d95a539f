/* The software version at which each stream began, so that callers that take
   it up are sent on to targets of that version only.

   A router keeps the versions of the streams that it has begun.  While the
   targets of a service have more than one version, it also saves them in the
   platform's store, where other routers find them, also when all routers were
   killed.  docs/design/versions.md explains the design.  */

#ifndef CS_ROUTER_STREAM_VERSIONS_H
#define CS_ROUTER_STREAM_VERSIONS_H

#include "cranberrystile/stream_table.h"
#include "cranberrystile/version_history.h"
#include "router/router.h"

/* A save within this time delays no first event.  */
#define CS_STREAM_PROMPT_SAVE_US (200 * CS_US_PER_MS)

typedef struct cs_version_lookup cs_version_lookup_t;

/* Called with the result of a lookup: CS_OK, or CS_ERR_UNKNOWN_VERSION.  */
typedef void cs_version_found_fn (void *context, int result, cs_time_us_t now);

/* A search for the version of a stream.  The caller fills in the first part
   and keeps it until the result is there, or until it cancels.  */
struct cs_version_lookup
{
  uint64_t stream;  /* hash of the id of the request that began it; 0: not
                       named */
  uint64_t service; /* hash of the name of the service that goes on with it */
  cs_version_found_fn *on_result;
  void *context;
  bool is_for_peer; /* not passed on to other routers */

  uint64_t version; /* the result; 0: any, the targets state none */

  int result;
  bool is_waiting;
  cs_time_us_t asked_at;
  uint32_t reads;       /* of the store, that have not found the stream */
  bool targets_checked; /* with the store, after ASKED_AT */
  bool lacks_target;    /* none of its version is known, as far as that was
                           looked for */
  bool is_over;         /* it can't take longer */
  uint64_t number;      /* of the question to peers; 0: not asked */
  cs_version_lookup_t *next;
};

/* Returns NULL when memory runs out or the platform's address is invalid.  */
cs_stream_versions_t *cs_stream_versions_create (cs_router_t *router);
void cs_stream_versions_destroy (cs_stream_versions_t *versions);

/* To be called a few times a second.  */
void cs_stream_versions_update (cs_stream_versions_t *versions,
                                cs_time_us_t now);

/* A target of VERSION was added.  If that is a new version, the streams that
   other ones have begun are saved.  Accepts NULL.  */
void cs_stream_versions_see (cs_stream_versions_t *versions, uint64_t version,
                             cs_time_us_t now);

/* Changes of the targets may have been missed: a version may have come and
   gone.  Accepts NULL.  */
void cs_stream_versions_missed (cs_stream_versions_t *versions,
                                cs_time_us_t now);

/* The versions to tell peers.  Returns their number, and in *STATE a number
   that changes with them; 0 for both: this router doesn't know which versions
   are the bases.  */
size_t
cs_stream_versions_to_tell (const cs_stream_versions_t *versions,
                            cs_version_seen_t out[CS_VERSION_HISTORY_MAX],
                            uint64_t *state);

/* A peer that knows the bases tells its versions.  */
void cs_stream_versions_told (cs_stream_versions_t *versions,
                              const cs_version_seen_t *told, size_t count,
                              cs_time_us_t now);

/* Records that a target of RECORD's version begins its stream for SERVICE, a
   hash of its name.  Returns the number under which the stream is to be saved
   before its caller gets the first event; 0: that is not needed.  */
uint64_t cs_stream_versions_begin (cs_stream_versions_t *versions,
                                   uint64_t service,
                                   const cs_stream_record_t *record,
                                   cs_time_us_t now);

/* The version at which streams of SERVICE should begin while others can't be
   saved in time; 0: any.  */
uint64_t cs_stream_versions_preferred (const cs_stream_versions_t *versions,
                                       uint64_t service, cs_time_us_t now);

/* Whether a stream of SERVICE that begins at VERSION must not bring its caller
   an event before it is saved: unrecorded ones go on at another version, or
   may do so as far as this router knows.  */
bool cs_stream_versions_must_save (const cs_stream_versions_t *versions,
                                   uint64_t service, uint64_t version,
                                   cs_time_us_t now);

/* The whole stream was sent.  */
void cs_stream_versions_end (cs_stream_versions_t *versions, uint64_t stream,
                             cs_time_us_t now);

/* A member relies on this router to save STREAM.  */
void cs_stream_versions_carry (cs_stream_versions_t *versions, uint64_t stream,
                               uint64_t version, cs_time_us_t now);

/* The store has this router's streams up to NUMBER.  */
void cs_stream_versions_saved (cs_stream_versions_t *versions, uint64_t number,
                               cs_time_us_t now);

/* Whether streams that begin now are likely to be saved, as earlier ones have
   been.  */
bool cs_stream_versions_are_saved_soon (const cs_stream_versions_t *versions,
                                        cs_time_us_t now);

typedef struct cs_stream_wait cs_stream_wait_t;

/* A wait for a stream to be saved.  The caller fills in the first part and
   keeps it until it has ended.  */
struct cs_stream_wait
{
  uint64_t number;
  void (*on_saved) (void *context, cs_time_us_t now);
  void *context;

  bool is_waiting;
  cs_stream_wait_t *next;
};

/* Returns whether the stream is saved already, or can't be; otherwise ON_SAVED
   will be called.  */
bool cs_stream_versions_wait (cs_stream_versions_t *versions,
                              cs_stream_wait_t *wait);

/* Ends a wait.  Does nothing if there is none.  */
void cs_stream_versions_end_wait (cs_stream_versions_t *versions,
                                  cs_stream_wait_t *wait);

/* Searches the version of a stream.  Returns its result, or CS_ERR_IN_PROGRESS
   if ON_RESULT will be called, after this function has returned.  */
int cs_stream_versions_find (cs_stream_versions_t *versions,
                             cs_version_lookup_t *lookup, cs_time_us_t now);

/* Ends a search without a result.  Does nothing if none is in progress.  */
void cs_stream_versions_cancel (cs_stream_versions_t *versions,
                                cs_version_lookup_t *lookup);

/* A peer answers question NUMBER: the stream is of VERSION.  */
void cs_stream_versions_answer (cs_stream_versions_t *versions,
                                uint64_t number, uint64_t version,
                                cs_time_us_t now);

#endif
