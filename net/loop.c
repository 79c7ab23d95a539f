#include "net/loop.h"

#include <stdlib.h>

/* Upper bound of one read, a few socket buffers' worth.  */
#define READ_BUFFER_BYTES (32U * 1024)

struct cs_loop
{
  struct event_base *base;
  char *read_buffer;
  void *lingering_channels;
};

cs_loop_t *
cs_loop_create (void)
{
  cs_loop_t *loop = calloc (1, sizeof *loop);
  struct event_config *config = event_config_new ();
  if (loop == NULL || config == NULL)
    goto fail;
  event_config_set_flag (config, EVENT_BASE_FLAG_NOLOCK);
  loop->base = event_base_new_with_config (config);
  loop->read_buffer = malloc (READ_BUFFER_BYTES);
  if (loop->base == NULL || loop->read_buffer == NULL)
    goto fail;
  event_config_free (config);
  return loop;
fail:
  if (config != NULL)
    event_config_free (config);
  cs_loop_destroy (loop);
  return NULL;
}

void
cs_loop_destroy (cs_loop_t *loop)
{
  if (loop == NULL)
    return;
  if (loop->base != NULL)
    event_base_free (loop->base);
  free (loop->read_buffer);
  free (loop);
}

void
cs_loop_run (cs_loop_t *loop)
{
  event_base_dispatch (loop->base);
}

void
cs_loop_stop (cs_loop_t *loop)
{
  event_base_loopbreak (loop->base);
}

cs_time_us_t
cs_loop_now (cs_loop_t *loop)
{
  (void)loop;
  return cs_clock_now ();
}

struct event_base *
cs_loop_base (cs_loop_t *loop)
{
  return loop->base;
}

char *
cs_loop_read_buffer (cs_loop_t *loop, size_t *size)
{
  *size = READ_BUFFER_BYTES;
  return loop->read_buffer;
}

void **
cs_loop_lingering_channels (cs_loop_t *loop)
{
  return &loop->lingering_channels;
}

static void
on_timer (evutil_socket_t fd, short what, void *argument)
{
  cs_timer_t *timer = argument;
  timer->fire (timer->context, cs_loop_now (timer->loop));
}

void
cs_timer_init (cs_timer_t *timer, cs_loop_t *loop,
               void (*fire) (void *context, cs_time_us_t now), void *context)
{
  timer->loop = loop;
  timer->fire = fire;
  timer->context = context;
  evtimer_assign (&timer->event, loop->base, on_timer, timer);
}

void
cs_timer_set (cs_timer_t *timer, cs_time_us_t delay_us)
{
  struct timeval delay = { (time_t)(delay_us / CS_US_PER_S),
                           (suseconds_t)(delay_us % CS_US_PER_S) };
  evtimer_add (&timer->event, &delay);
}

void
cs_timer_clear (cs_timer_t *timer)
{
  evtimer_del (&timer->event);
}
