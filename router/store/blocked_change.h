/* A change of the entry of a blocked part in the platform's store.

   A call without a response may be executed seconds later.  So an entry is
   replaced or deleted only at the revision that it was read at, and where a
   write that creates one may still come, an ended entry takes its place.  */

#ifndef CS_ROUTER_STORE_BLOCKED_CHANGE_H
#define CS_ROUTER_STORE_BLOCKED_CHANGE_H

#include "router/store_client.h"

typedef enum
{
  CS_BLOCKED_SAVE,  /* unless there is an entry */
  CS_BLOCKED_RENEW, /* also if there is an entry */
  CS_BLOCKED_END,   /* write that the part is not blocked */
  CS_BLOCKED_REMOVE
} cs_blocked_change_kind_t;

/* Set the first part; the others begin as zeros.  */
typedef struct
{
  cs_blocked_change_kind_t kind;
  uint64_t part;
  cs_time_us_t blocked_at;
  uint64_t revision; /* of the entry; 0: not known */

  bool exists; /* there is an entry */
  bool reads;  /* the latest call reads it */
} cs_blocked_change_t;

typedef enum
{
  CS_BLOCKED_DONE,
  CS_BLOCKED_NEXT, /* another call is needed */
  CS_BLOCKED_FAILED
} cs_blocked_step_t;

/* Builds the next call of CHANGE.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_blocked_change_call (cs_blocked_change_t *change, const char **method,
                            cs_buf_t *path, cs_buf_t *body, cs_time_us_t now);

/* Reads the response to that call.  */
cs_blocked_step_t
cs_blocked_change_answered (cs_blocked_change_t *change,
                            const cs_store_response_t *response);

/* Whether the call was to create the entry.  */
bool cs_blocked_change_creates (const cs_blocked_change_t *change);

#endif
