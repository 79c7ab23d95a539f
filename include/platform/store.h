/* The platform's store: paths of its HTTP API, and encoding and decoding of
   its objects.  */

#ifndef CS_PLATFORM_STORE_H
#define CS_PLATFORM_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/json_text.h"
#include "common/str.h"
#include "cranberrystile/fleet.h"
#include "cranberrystile/routing.h"
#include "http/head.h"

typedef enum
{
  CS_STORE_ROUTING, /* a single object with the whole configuration */
  CS_STORE_TARGETS, /* one object per target */
  CS_STORE_ROUTERS, /* one object per router, written by the router itself */
  CS_STORE_BLOCKED_PARTS, /* one object per blocked part of prompts */
  CS_STORE_STREAMS,       /* see platform/streams.h */
  CS_STORE_EVACUATIONS    /* one object per evacuated data centre, with its
                             name; the spec has no meaning */
} cs_store_kind_t;

const char *cs_store_kind_name (cs_store_kind_t kind);

/* The functions that append a path to OUT return 0 or CS_ERR_NO_MEMORY.  */

/* Appends the path that lists the objects of KIND whose names follow AFTER;
   all if AFTER is empty.  */
int cs_store_list_path (cs_store_kind_t kind, cs_str_t after, cs_buf_t *out);

/* Like cs_store_list_path for a list that may be some seconds old, which is
   cheap for the store.  */
int cs_store_stale_list_path (cs_store_kind_t kind, cs_str_t after,
                              cs_buf_t *out);

/* Appends the path of the object NAME, or, if NAME is empty, the path at which
   objects of KIND are created.  */
int cs_store_object_path (cs_store_kind_t kind, cs_str_t name, cs_buf_t *out);

/* Appends the path at which the object NAME is replaced or deleted provided
   that it is still at REVISION.  */
int cs_store_object_at_path (cs_store_kind_t kind, cs_str_t name,
                             uint64_t revision, cs_buf_t *out);

/* Appends the path of a long poll for changes of KIND after REVISION that
   returns after WAIT_MS at the latest.  */
int cs_store_watch_path (cs_store_kind_t kind, uint64_t revision,
                         uint32_t wait_ms, cs_buf_t *out);

/* One page of a list, or the changes that a watch returned.  Each object is
   parsed by itself: one that can't be read leaves the others readable.  */
typedef struct
{
  cs_json_text_t objects; /* those not read yet; borrowed from the body */
  size_t count;           /* of all objects */
  bool are_changes;
  bool truncated;         /* more objects follow */
  cs_revision_t revision; /* of the whole store */
  json_t *metadata;       /* of the latest object */
  json_t *spec;           /* likewise */
} cs_store_page_t;

/* Returns the revision of the object in the response to a write, or to one
   that was refused as the object has changed; 0 if BODY doesn't state it.  */
uint64_t cs_store_read_written (cs_str_t body);

/* Returns the era that the head of a response states, or 0.  */
uint64_t cs_store_read_era (const cs_http_head_t *head);

/* Decode the response body of a list and of a watch, of a response in ERA.
   Return 0, and the caller releases OUT with cs_store_page_release; or
   CS_ERR_BAD_REQUEST if BODY is malformed.  */
int cs_store_read_list (cs_str_t body, uint64_t era, cs_store_page_t *out);
int cs_store_read_watch (cs_str_t body, uint64_t era, cs_store_page_t *out);

/* An object of a list or of a change.  */
typedef struct
{
  cs_str_t name;
  cs_revision_t revision; /* that of the page if the object's can't be right */
  const json_t *spec;     /* NULL if it can't be read */
  bool is_change;         /* from a watch; false: from a list */
  bool deleted;           /* the change is the object's deletion */
} cs_store_object_t;

/* Decodes the next object of PAGE; those without a name that can be read are
   left out.  OUT is borrowed until the next call or the page's release.
   Returns false at the end.  */
bool cs_store_next_object (cs_store_page_t *page, cs_store_object_t *out);

void cs_store_page_release (cs_store_page_t *page);

/* Whether OBJECT is the current configuration, and not its deletion.  */
bool cs_store_is_routing (const cs_store_object_t *object);

/* Decodes a configuration.  Returns 0 with a reference to a new routing in
   *OUT, CS_ERR_BAD_RELEASE with an error message appended to REASON, or
   CS_ERR_NO_MEMORY.  */
int cs_store_read_routing (const json_t *spec, cs_routing_t **out,
                           cs_buf_t *reason);

/* A router's own entry in the store.  The strings are borrowed.  */
typedef struct
{
  cs_str_t name;
  cs_str_t data_centre;
  cs_str_t address;  /* where it accepts connections of peers */
  uint32_t capacity; /* relative, to serve peers; 0: not stated */
  uint32_t renewals; /* counter; makes each renewal a change */
} cs_router_entry_t;

/* Decodes a router's entry.  Returns 0, CS_ERR_BAD_REQUEST if it is invalid,
   or CS_ERR_TOO_LARGE if a name in it is longer than CS_NAME_MAX.  */
int cs_store_read_router (const cs_store_object_t *object,
                          cs_router_entry_t *out);

/* Appends ENTRY as a JSON object of the store to OUT.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_store_write_router (const cs_router_entry_t *entry, cs_buf_t *out);

/* A part of prompts under which targets crashed.  */
typedef struct
{
  uint64_t part;
  uint64_t blocked_ms; /* wall clock */
  uint64_t ended_ms;   /* likewise, when that was written; 0: it is blocked */
} cs_store_blocked_part_t;

/* Appends the path of the object of PART, provided that it is at REVISION
   unless that is 0; or, if PART is NULL, the one at which it is created.  */
int cs_store_blocked_part_path (const uint64_t *part, uint64_t revision,
                                cs_buf_t *out);

/* Whether the object in the response to a write is of a part that is no longer
   blocked.  */
bool cs_store_written_part_has_ended (cs_str_t body);

/* Returns 0, or CS_ERR_BAD_REQUEST if the object is invalid.  */
int cs_store_read_blocked_part (const cs_store_object_t *object,
                                cs_store_blocked_part_t *out);

/* Appends PART as a JSON object of the store to OUT.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_store_write_blocked_part (const cs_store_blocked_part_t *part,
                                 cs_buf_t *out);

/* Decodes a target's entry.  Returns 0, CS_ERR_BAD_REQUEST if it does not
   describe a usable target, or CS_ERR_TOO_LARGE if it does but for a name that
   is longer than CS_NAME_MAX.  */
int cs_store_read_target (const cs_store_object_t *object,
                          cs_target_entry_t *out);

#endif
