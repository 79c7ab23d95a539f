/* A libevent loop of one worker thread, with a clock and a shared read buffer.
   All channels, timers and listeners of a loop may only be used on its thread.
 */

#ifndef CS_NET_LOOP_H
#define CS_NET_LOOP_H

#include <stddef.h>

#include <event2/event.h>
#include <event2/event_struct.h>

#include "common/clock.h"

typedef struct cs_loop cs_loop_t;

/* Returns NULL when out of memory or descriptors.  */
cs_loop_t *cs_loop_create (void);
void cs_loop_destroy (cs_loop_t *loop);

/* Runs until cs_loop_stop.  */
void cs_loop_run (cs_loop_t *loop);
void cs_loop_stop (cs_loop_t *loop);

/* Returns the current time, cs_clock_now ().  */
cs_time_us_t cs_loop_now (cs_loop_t *loop);

struct event_base *cs_loop_base (cs_loop_t *loop);

/* Returns the read buffer shared by all channels of the loop, and its size in
 *SIZE.  Its contents are valid until the next read.  */
char *cs_loop_read_buffer (cs_loop_t *loop, size_t *size);

/* Head of the list of channels in a lingering close, which have no owner.
   Maintained by net/channel.c.  */
void **cs_loop_lingering_channels (cs_loop_t *loop);

/* A one-shot timer, to be embedded in a larger structure.  Initialise it once;
   after that it can be set and cleared any number of times.  */
typedef struct
{
  struct event event;
  cs_loop_t *loop;
  void (*fire) (void *context, cs_time_us_t now);
  void *context;
} cs_timer_t;

void cs_timer_init (cs_timer_t *timer, cs_loop_t *loop,
                    void (*fire) (void *context, cs_time_us_t now),
                    void *context);

/* Fires once after DELAY_US; replaces a pending time, if any.  */
void cs_timer_set (cs_timer_t *timer, cs_time_us_t delay_us);
void cs_timer_clear (cs_timer_t *timer);

#endif
