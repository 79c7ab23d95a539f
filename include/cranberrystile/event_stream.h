/* Splits a text/event-stream into events (HTML standard, section 9.2.5).  Only
   complete events are forwarded, so that an interrupted stream can be resumed
   at another target after the last of them.  */

#ifndef CS_EVENT_STREAM_H
#define CS_EVENT_STREAM_H

#include <stdbool.h>

#include "common/str.h"

/* Initialise with zeros; release with cs_event_stream_free.  */
typedef struct
{
  cs_buf_t partial;     /* incomplete event at the end of the input */
  size_t scanned;       /* leading bytes of it that are known to hold no end */
  cs_name_t last_id;    /* id of the last complete event that had one; empty if
                           that is longer than CS_NAME_MAX */
  uint64_t last_number; /* the last numeric id; 0: none yet */
  uint64_t count;       /* complete events forwarded, without those that have
                           no field, such as comments */
} cs_event_stream_t;

/* Adds PART to the input and appends the events that it completes to COMPLETE.
   Events with a numeric id that is not above the last one are dropped, since a
   resumed stream may repeat them.  Returns 0, CS_ERR_NO_MEMORY,
   CS_ERR_TOO_LARGE if the incomplete event exceeds 256 KiB, or
   CS_ERR_WRONG_ANSWER if an event has the status line of a response.  */
int cs_event_stream_add (cs_event_stream_t *stream, cs_str_t part,
                         cs_buf_t *complete);

/* Discards an incomplete event.  To be called before the stream is resumed at
   another target.  */
void cs_event_stream_discard_partial (cs_event_stream_t *stream);

/* Returns whether the input ends at an event boundary.  */
bool cs_event_stream_is_at_boundary (const cs_event_stream_t *stream);

void cs_event_stream_free (cs_event_stream_t *stream);

#endif
