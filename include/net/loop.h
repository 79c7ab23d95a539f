/* An event loop on libevent: one worker, its clock and its read buffer.  All
   channels, timers and listeners of a loop are used from its thread only.  */

#ifndef CS_NET_LOOP_H
#define CS_NET_LOOP_H

#include <stddef.h>

#include <event2/event.h>
#include <event2/event_struct.h>

#include "common/clock.h"

typedef struct cs_loop cs_loop_t;

/* Returns NULL when the loop cannot be made.  */
cs_loop_t *cs_loop_create (void);
void cs_loop_destroy (cs_loop_t *loop);

/* Runs until cs_loop_stop.  */
void cs_loop_run (cs_loop_t *loop);
void cs_loop_stop (cs_loop_t *loop);

/* Monotonic time, read once for each round of callbacks.  */
cs_time_us_t cs_loop_now (cs_loop_t *loop);

struct event_base *cs_loop_base (cs_loop_t *loop);

/* Scratch space for one read, shared by all channels of the loop.  */
char *cs_loop_read_buffer (cs_loop_t *loop, size_t *size);

/* Head of the list of channels that finish without an owner; net/channel.c
   keeps it.  */
void **cs_loop_finishing (cs_loop_t *loop);

/* A timer that belongs to a larger record.  Initialise once; after that it can
   be set and cleared any number of times.  */
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

/* Fires once after DELAY_US, in place of what was set before.  */
void cs_timer_set (cs_timer_t *timer, cs_time_us_t delay_us);
void cs_timer_clear (cs_timer_t *timer);

#endif
