/* State of the streams' versions, shared by the decisions and the calls to the
   store.  */

#ifndef CS_ROUTER_STORE_STREAM_INTERNAL_H
#define CS_ROUTER_STORE_STREAM_INTERNAL_H

#include "cranberrystile/version_history.h"
#include "platform/streams.h"
#include "router/list_cursor.h"
#include "router/store_client.h"
#include "router/stream_versions.h"

typedef enum
{
  CS_STREAM_CALL_NONE,
  CS_STREAM_CALL_READ,           /* a page of the list of all objects */
  CS_STREAM_CALL_WRITE_VERSIONS, /* the object with the versions */
  CS_STREAM_CALL_SAVE,           /* this router's object */
  CS_STREAM_CALL_REMOVE,         /* an object whose streams are over */
  CS_STREAM_CALL_CHECK           /* for targets that this router lacks */
} cs_stream_call_t;

/* Objects that one list finds to be removed.  */
#define CS_STREAM_REMOVABLE_MAX 16

typedef struct
{
  cs_name_t name;
  uint64_t revision;
} cs_removable_t;

/* Streams of which the hub is told in one frame that they have ended; it
   forgets more when they are over.  */
#define CS_STREAM_ENDED_MAX 256

struct cs_stream_versions
{
  cs_router_t *router;
  cs_stream_table_t *own;   /* streams that this router has begun */
  cs_stream_table_t *known; /* of all routers, as the latest list has them */
  cs_time_us_t known_at;    /* when that list began; 0: none is complete */
  cs_version_history_t history;
  cs_time_us_t synced_at; /* when the targets were first known; 0: not yet */
  cs_time_us_t followed_since; /* all changes of the targets */
  cs_time_us_t updated_at;
  bool lacks_versions; /* as the log says */
  bool was_told;       /* the bases, by a peer */
  uint64_t tell_state; /* rises when there is something to tell peers */
  uint64_t tell_hash;
  cs_version_lookup_t *lookups;
  uint64_t last_question; /* to peers */
  cs_stream_wait_t *waits;

  /* Numbers of the changes of OWN.  */
  uint64_t last_number;
  uint64_t saving_number; /* in the save in progress */
  uint64_t saved_number;
  cs_time_us_t unsaved_since; /* when one was due that is not saved; 0: none */
  cs_time_us_t save_us;       /* what the latest save took */
  cs_time_us_t patience_us;   /* callers that get nothing more of a stream take
                                 it up within this time */
  uint64_t patience_version;  /* of the configuration that it is from */
  cs_time_us_t pass_at;       /* to the hub; 0: nothing to pass */
  cs_time_us_t carries_until; /* members rely on this router */
  uint64_t ended[CS_STREAM_ENDED_MAX]; /* to tell the hub */
  size_t ended_count;

  /* Calls.  */
  cs_store_client_t *client;
  cs_timer_t timer;
  cs_stream_call_t call; /* in flight */
  uint32_t failures;     /* consecutive */
  cs_time_us_t retry_at;

  cs_name_t name; /* of this router's object, in OWN_ERA of the store */
  uint64_t own_era;
  uint64_t own_revision; /* of the object; 0: it has to be read */
  bool is_saved;         /* the object exists */
  bool save_due;         /* OWN has changed */
  cs_time_us_t saved_at; /* when it was last written */

  bool list_wanted; /* to learn which versions there were before the start */
  bool is_read;     /* a whole list, in READ_ERA of the store */
  uint64_t read_era;
  cs_time_us_t reread_at; /* after the store was restored; 0: not due */
  cs_time_us_t read_at;   /* when the latest list began, in LIST_ERA */
  uint64_t list_era;
  bool list_has_versions;  /* the object with the versions was in it */
  bool list_has_own;       /* this router's object was in it */
  bool list_was_several;   /* versions, as far as was known when it began */
  bool known_is_partial;   /* streams are missing from KNOWN */
  cs_time_us_t lost_until; /* streams are missing from OWN */
  cs_list_cursor_t cursor; /* of the list in progress */
  cs_removable_t
      removable[CS_STREAM_REMOVABLE_MAX]; /* their streams are over */
  size_t removable_count;

  cs_time_us_t check_at; /* when the latest check of the targets began */
  bool check_lists;      /* it lists them, as the changes aren't known */
  cs_list_cursor_t check_cursor; /* of that list */

  cs_store_version_t
      stored[CS_VERSION_HISTORY_MAX]; /* in the versions object */
  size_t stored_count;
  uint64_t stored_revision; /* 0: there is no such object */
  bool stored_is_current;   /* no write since it was read */
  bool versions_due;        /* the object has to be read or written */
};

/* stream_saves.c */

/* Time between two saves of a router.  */
#define CS_STREAM_SAVE_INTERVAL_US (125 * CS_US_PER_MS)

/* Requests that the streams are saved, by the hub if there is one.  */
void cs_stream_request_save (cs_stream_versions_t *versions, cs_time_us_t now);

/* Whether the hub has not saved this router's streams in time.  */
bool cs_stream_hub_is_late (const cs_stream_versions_t *versions,
                            cs_time_us_t now);

/* Whether this router saves streams itself, as a hub or for want of one.  */
bool cs_stream_saves_itself (const cs_stream_versions_t *versions,
                             cs_time_us_t now);

/* Passes the streams on to the hub.  Returns false if there is none.  */
bool cs_stream_pass (cs_stream_versions_t *versions, cs_time_us_t now);

/* stream_bases.c */

/* Whether this router knows the base of each service that has one.  */
bool cs_stream_knows_bases (const cs_stream_versions_t *versions);

/* Notices what peers have not been told.  */
void cs_stream_bases_update (cs_stream_versions_t *versions, cs_time_us_t now);

/* stream_object.c */

/* Gives this router's object a new name.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_stream_object_name (cs_stream_versions_t *versions);

/* Begins another object if the store was restored since the latest one.  */
void cs_stream_object_check_era (cs_stream_versions_t *versions,
                                 cs_time_us_t now);

/* Whether the object has to be read before it is written again.  */
bool cs_stream_object_is_unsure (const cs_stream_versions_t *versions);

/* Build the calls that write and remove the object.  Return 0 or
   CS_ERR_NO_MEMORY.  */
int cs_stream_object_save (const cs_stream_versions_t *versions,
                           const char **method, cs_buf_t *path, cs_buf_t *body,
                           cs_time_us_t now);
int cs_stream_object_removal_path (const cs_stream_versions_t *versions,
                                   cs_buf_t *path);

/* Read the responses.  Return whether the call succeeded, or shows what to do
   instead.  */
bool cs_stream_object_saved (cs_stream_versions_t *versions,
                             const cs_store_response_t *response,
                             cs_time_us_t now);
bool cs_stream_object_removed (cs_stream_versions_t *versions,
                               const cs_store_response_t *response);

/* stream_versions.c */

/* Whether no version is missing from the history.  */
bool cs_stream_history_is_complete (const cs_stream_versions_t *versions,
                                    cs_time_us_t now);

/* Whether targets whose entries had expired in an outage before this router
   started are back in the list.  */
bool cs_stream_targets_are_settled (const cs_stream_versions_t *versions,
                                    cs_time_us_t now);

/* Writes the versions that the store should name to OUT, and returns their
   number.  */
size_t cs_stream_versions_list (const cs_stream_versions_t *versions,
                                cs_store_version_t *out, cs_time_us_t now);

/* Adds what the store names to the history.  */
void cs_stream_versions_merge (cs_stream_versions_t *versions,
                               cs_time_us_t now);

/* Whether the targets of any service have, or had lately, several versions. */
bool cs_stream_versions_are_several (const cs_stream_versions_t *versions,
                                     cs_time_us_t now);

/* stream_lookups.c */

/* When the next list has to begin for the searches in progress; 0: none.  */
cs_time_us_t cs_stream_read_due (const cs_stream_versions_t *versions,
                                 cs_time_us_t now);

/* Whether a search waits for the targets to be checked.  */
bool cs_stream_check_is_due (const cs_stream_versions_t *versions,
                             cs_time_us_t now);

/* End the searches that a list of the streams, or a check of the targets,
   which began at STARTED_AT, decides.  */
void cs_stream_lookups_after_list (cs_stream_versions_t *versions,
                                   cs_time_us_t started_at, cs_time_us_t now);
void cs_stream_lookups_after_check (cs_stream_versions_t *versions,
                                    cs_time_us_t started_at, cs_time_us_t now);

/* Asks peers for what the store doesn't tell, and ends the searches that have
   taken too long.  */
void cs_stream_lookups_update (cs_stream_versions_t *versions,
                               cs_time_us_t now);

/* stream_check.c: whether targets of a version that this router does not know
   have joined.  */

/* Appends the path of the next call of the check to OUT.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_stream_check_path (cs_stream_versions_t *versions, cs_buf_t *out,
                          cs_time_us_t now);

/* Returns whether the call succeeded, or shows what to do instead.  */
bool cs_stream_check_read (cs_stream_versions_t *versions,
                           const cs_store_response_t *response,
                           cs_time_us_t now);

/* stream_calls.c */

/* Makes the next call that is due, or sets the timer for it.  */
void cs_stream_calls_start (void *versions, cs_time_us_t now);
void cs_stream_calls_on_response (void *versions,
                                  const cs_store_response_t *response);

#endif
