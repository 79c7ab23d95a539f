/* The platform's store: paths of its calls, and its objects decoded.  */

#ifndef CS_PLATFORM_STORE_H
#define CS_PLATFORM_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/str.h"
#include "cranberrystile/fleet.h"
#include "cranberrystile/routing.h"

typedef enum
{
  CS_STORE_ROUTING, /* one object holds the whole configuration */
  CS_STORE_TARGETS, /* one object a target */
  CS_STORE_ROUTERS  /* one object a router, written by itself */
} cs_store_kind_t;

const char *cs_store_kind_name (cs_store_kind_t kind);

/* Appends the path that lists KIND, from after the name AFTER (empty: from the
   start).  */
int cs_store_list_path (cs_store_kind_t kind, cs_str_t after, cs_buf_t *out);

/* Appends the path that lists KIND as it was some seconds ago, which costs the
   store little.  */
int cs_store_stale_list_path (cs_store_kind_t kind, cs_str_t after,
                              cs_buf_t *out);

/* Appends the path of one object, or of all objects when NAME is empty: where
   one is created.  */
int cs_store_object_path (cs_store_kind_t kind, cs_str_t name, cs_buf_t *out);

/* Appends the path that removes one object if it is still at REVISION.  */
int cs_store_remove_path (cs_store_kind_t kind, cs_str_t name,
                          uint64_t revision, cs_buf_t *out);

/* Appends the path that waits up to WAIT_MS for changes of KIND after
   REVISION.  */
int cs_store_watch_path (cs_store_kind_t kind, uint64_t revision,
                         uint32_t wait_ms, cs_buf_t *out);

/* One page of a list, or the changes of a watch; borrows from the body.  */
typedef struct
{
  const json_t *items;
  bool truncated;
  uint64_t revision; /* of the store as a whole */
} cs_store_page_t;

/* Each returns 0, or CS_ERR_BAD_REQUEST for what is not such an answer.  */
int cs_store_read_list (const json_t *body, cs_store_page_t *out);
int cs_store_read_watch (const json_t *body, cs_store_page_t *out);

/* An object of a list, or of a change.  */
typedef struct
{
  cs_str_t name;
  uint64_t revision;
  const json_t *spec;
  bool deleted;
} cs_store_object_t;

int cs_store_read_object (const json_t *item, bool is_change,
                          cs_store_object_t *out);

/* Whether the object is the one that holds the configuration in force.  */
bool cs_store_is_routing (const cs_store_object_t *object);

/* Returns 0 with a new routing in *OUT, or CS_ERR_BAD_RELEASE with the reason
   appended, or CS_ERR_NO_MEMORY.  */
int cs_store_read_routing (const json_t *spec, cs_routing_t **out,
                           cs_buf_t *reason);

/* A router as it announces itself; the strings are borrowed.  */
typedef struct
{
  cs_str_t name;
  cs_str_t data_centre;
  cs_str_t address;  /* where it takes connections of peers */
  uint32_t renewals; /* so that each renewal is a change to the store */
} cs_router_entry_t;

/* Returns 0 or CS_ERR_BAD_REQUEST.  */
int cs_store_read_router (const cs_store_object_t *object,
                          cs_router_entry_t *out);

/* Appends the object that announces ENTRY.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_store_write_router (const cs_router_entry_t *entry, cs_buf_t *out);

/* Returns 0; CS_ERR_BAD_REQUEST for an entry that names no usable target.  */
int cs_store_read_target (const cs_store_object_t *object,
                          cs_target_entry_t *out);

#endif
