/* Splits a text/event-stream into whole events (HTML standard, section
   9.2.5), so that only whole ones are passed on and a cut stream can be taken
   up after the last of them.  */

#ifndef CS_EVENT_STREAM_H
#define CS_EVENT_STREAM_H

#include <stdbool.h>

#include "common/str.h"

/* Initialise with zeros; release with cs_event_stream_free.  */
typedef struct
{
  cs_buf_t partial;     /* an event that is not complete yet */
  cs_name_t last_id;    /* of the last whole event that had one */
  uint64_t last_number; /* the same as a number; 0 when it is none */
  uint64_t count;       /* whole events passed on */
} cs_event_stream_t;

/* Adds PART and appends to WHOLE the events that are now complete.  Events
   whose number is not above the last one's are dropped: a stream taken up
   again may repeat them.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_event_stream_add (cs_event_stream_t *stream, cs_str_t part,
                         cs_buf_t *whole);

/* Drops an incomplete event, before the stream is taken up elsewhere.  */
void cs_event_stream_discard_partial (cs_event_stream_t *stream);

/* Whether the stream stands between two events.  */
bool cs_event_stream_is_at_boundary (const cs_event_stream_t *stream);

void cs_event_stream_free (cs_event_stream_t *stream);

#endif
