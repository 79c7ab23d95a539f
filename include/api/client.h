/* A blocking client of the platform's object API, which follows the Kubernetes
   API conventions with JSON bodies.  Thread-safe: each call takes its own
   connection from a pool.  */

#ifndef CS_PLATFORM_CLIENT_H
#define CS_PLATFORM_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "common/error.h"
#include "common/str.h"

typedef struct cs_platform cs_platform_t;

/* Makes all calls in flight and all later calls fail once they have waited for
   the platform for 200 ms; a call that never waits as long still succeeds.  A
   connection attempt is not interrupted before its timeout.  For process
   shutdown.  */
void cs_platform_cancel (cs_platform_t *platform);

/* Called after each call, on its thread, with the body bytes exchanged and
   whether the platform failed to serve the call.  */
typedef void cs_platform_count_fn (void *context, uint64_t bytes, bool failed);

/* ADDRESS is an IP address and port.  TOKEN is a bearer token, or empty for
   none.  TIMEOUT_MS is the connect timeout, and the time that a call other
   than a watch may take.  COUNT may be NULL; CONTEXT is passed to it.  Returns
   NULL for an invalid address or when out of memory.  */
cs_platform_t *cs_platform_create (const char *address, const char *name_space,
                                   const char *token, uint32_t timeout_ms,
                                   cs_platform_count_fn *count, void *context);
void cs_platform_destroy (cs_platform_t *platform);

/* The kinds of objects that the client can access.  */
typedef enum
{
  CS_KIND_RELEASE,
  CS_KIND_SNAPSHOT,
  CS_KIND_CLAIM,
  CS_KIND_LEASE,
  CS_KIND_ENDPOINT_SLICE
} cs_kind_t;

/* The functions below return 0 or one of these errors:

   CS_ERR_PLATFORM_DOWN: no usable response, so a write may have taken effect.
   CS_ERR_RATE_LIMITED: rejected by the platform, not executed.
   CS_ERR_CONFLICT: another write came first; not executed.
   CS_ERR_NOT_FOUND, CS_ERR_BAD_REQUEST, CS_ERR_NO_MEMORY.

   On success *OUT is the object, owned by the caller.  OUT may be NULL if the
   object is not needed.  */
int cs_platform_get (cs_platform_t *platform, cs_kind_t kind, const char *name,
                     json_t **out);

/* Creates an object.  SPEC is not consumed.  */
int cs_platform_create_object (cs_platform_t *platform, cs_kind_t kind,
                               const char *name, json_t *spec, json_t **out);

/* Replaces the object if its resourceVersion is still VERSION.  SPEC is not
   consumed.  */
int cs_platform_replace (cs_platform_t *platform, cs_kind_t kind,
                         const char *name, const char *version, json_t *spec,
                         json_t **out);

/* Deletes the object if its resourceVersion is still VERSION.  */
int cs_platform_delete (cs_platform_t *platform, cs_kind_t kind,
                        const char *name, const char *version);

/* Lists the objects of KIND.  *OUT is the list object with "items" and, in its
   metadata, the resourceVersion of the whole collection.  LIMIT is the maximum
   number of items, 0 for no limit; AFTER is the "continue" token of the
   previous page, or "".  */
int cs_platform_list (cs_platform_t *platform, cs_kind_t kind, uint32_t limit,
                      const char *after, json_t **out);

/* Called with each event of a watch; returns false to end the watch.  OBJECT
   is valid only during the call.  */
typedef bool cs_platform_event_fn (void *context, const char *type,
                                   const json_t *object);

/* Watches KIND from resourceVersion VERSION on, and blocks until the watch
   ends: after about SECONDS at most, when EVENT returns false, or on an error.
   Returns the error that ended it, or 0.  */
int cs_platform_watch (cs_platform_t *platform, cs_kind_t kind,
                       const char *version, uint32_t seconds,
                       cs_platform_event_fn *event, void *context);

/* Returns the resourceVersion of OBJECT, borrowed, or "" if it has none.  */
const char *cs_platform_resource_version (const json_t *object);

/* Returns the "spec" of OBJECT, borrowed, or NULL.  */
const json_t *cs_platform_spec (const json_t *object);

#endif
