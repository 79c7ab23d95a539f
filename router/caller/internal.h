/* A connection of a caller, shared by the files of this folder.  */

#ifndef CS_ROUTER_CALLER_INTERNAL_H
#define CS_ROUTER_CALLER_INTERNAL_H

#include "http/reader.h"
#include "net/channel.h"
#include "router/caller.h"
#include "router/forward.h"

struct cs_caller
{
  cs_router_t *router;
  cs_channel_t *channel;
  cs_http_reader_t *reader;
  cs_caller_t *next;
  cs_caller_t *previous;
  cs_forward_t *forward; /* the request that is being served */
  cs_buf_t body;         /* of the request that is being read */
  cs_buf_t ahead;        /* received while a request is being served */
  cs_timer_t timer;      /* idle, or until the request has arrived */
  bool too_large;
  bool no_room;     /* for the rest of the body */
  bool close_after; /* the caller wants the connection closed */
  bool reading;     /* requests are being read: the record stays until then */
  bool gone;        /* destroyed while READING */
};

/* What a caller may send: by the configuration, or by fallbacks before one is
   known.  */
const cs_caller_limits_t *cs_caller_limits (const cs_caller_t *caller);

/* Answers what could not be read as a request, and closes.  */
void cs_caller_reject (cs_caller_t *caller, int error);

/* Takes PART of the body of the request that is being read, or notes that it
   is too large or finds no room.  CONTEXT is the caller.  */
void cs_caller_take_body (void *context, cs_str_t part);

/* Refuses the request whose body finds no room.  The rest of it is not read,
   so the connection ends.  */
void cs_caller_refuse_body (cs_caller_t *caller);

#endif
