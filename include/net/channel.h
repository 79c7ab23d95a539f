/* A TCP connection on an event loop.  Output that does not fit in the socket
   buffer is queued without a bound; the owner limits the queue by pausing the
   source of the data.  */

#ifndef CS_NET_CHANNEL_H
#define CS_NET_CHANNEL_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"
#include "net/loop.h"

typedef struct cs_channel cs_channel_t;

/* Each callback may close the channel; no callback is called after that.  */
typedef struct
{
  /* An outgoing connection is established.  May be NULL.  */
  void (*on_open) (void *context);
  /* DATA is valid only during the call.  */
  void (*on_data) (void *context, cs_str_t data);
  /* The peer closed the connection (CS_OK), it was lost (CS_ERR_CUT), or it
     could not be established (CS_ERR_CONNECT).  The owner must still close the
     channel.  */
  void (*on_end) (void *context, int error);
  /* The output queue has been written to the socket.  May be NULL.  */
  void (*on_drained) (void *context);
} cs_channel_handlers_t;

/* Starts to connect to ADDRESS.  CONNECT_US is the connect timeout, and
   USER_TIMEOUT_US is how long sent bytes may stay unacknowledged before the
   connection is dropped (TCP_USER_TIMEOUT; 0: the system's default).  Returns
   NULL when the connection fails at once, or without a descriptor or memory.
 */
cs_channel_t *
cs_channel_connect (cs_loop_t *loop, const struct sockaddr_in *address,
                    cs_time_us_t connect_us, cs_time_us_t user_timeout_us,
                    const cs_channel_handlers_t *handlers, void *context);

/* Creates a channel that owns FD, an accepted connection.  Closes FD and
   returns NULL when out of memory.  */
cs_channel_t *cs_channel_adopt (cs_loop_t *loop, int fd,
                                const cs_channel_handlers_t *handlers,
                                void *context);

/* Hands the channel to another owner: replaces its callbacks and resets
   cs_channel_has_sent.  */
void cs_channel_set_owner (cs_channel_t *channel,
                           const cs_channel_handlers_t *handlers,
                           void *context);

/* Closes the connection at once, discarding queued output, and frees the
   channel.  Within a callback of the channel, it is freed when that returns.
 */
void cs_channel_close (cs_channel_t *channel);

/* Likewise, with a reset, so that the peer can't take what it has received for
   all that there is.  Not for a channel that is NULL or closed.  */
void cs_channel_reset (cs_channel_t *channel);

/* Sends the queued output, then closes the connection; the callbacks are not
   called any more.  Input is read and discarded for a short time (a lingering
   close), because closing a socket with unread input would reset the
   connection before the peer has read the last output.  The time starts again
   whenever queued output is written.  */
void cs_channel_close_gracefully (cs_channel_t *channel);

/* Like cs_channel_close_gracefully, but reads nothing any more: when the time
   is over, the kernel resets the connection if input came, so that the peer
   knows that it was not read.  Until then the peer can read its output.  */
void cs_channel_close_unread (cs_channel_t *channel);

/* Whether a channel in a lingering close has queued output.  */
bool cs_channels_have_lingering_output (cs_loop_t *loop);

/* Closes all channels in a lingering close.  Must be called before the loop is
   destroyed.  */
void cs_channels_close_lingering (cs_loop_t *loop);

/* Sends or queues DATA.  Returns 0 or CS_ERR_NO_MEMORY; a connection failure
   is reported to on_end later.  */
int cs_channel_send (cs_channel_t *channel, cs_str_t data);

/* Returns the number of bytes queued but not yet written to the socket.  */
size_t cs_channel_queued (const cs_channel_t *channel);

/* Whether output is queued, or the peer's host has not acknowledged all that
   was written.  A peer that closes after it has read all output has
   acknowledged it with or before its close.  */
bool cs_channel_has_unacknowledged (const cs_channel_t *channel);

/* Whether any byte was written to the socket since the owner was last set.  */
bool cs_channel_has_sent (const cs_channel_t *channel);

/* Stops or resumes reading.  A paused channel does not detect that the peer
   has closed the connection.  */
void cs_channel_pause (cs_channel_t *channel, bool paused);

/* Checks the socket for a close or reset by the peer that on_end has not yet
   reported.  Returns false when unread input comes first.  */
bool cs_channel_has_ended (const cs_channel_t *channel);

/* Whether received data waits to be read.  */
bool cs_channel_has_unread (const cs_channel_t *channel);

/* Whether received data, a close or a reset waits to be read.  False while the
   channel connects and while reading is paused.  */
bool cs_channel_has_input (const cs_channel_t *channel);

/* Reads input without waiting for the event loop.  May call any handler, which
   may close the channel.  */
void cs_channel_read (cs_channel_t *channel);

/* Enables TCP keepalive: the first probe after IDLE_S seconds without traffic,
   then COUNT unanswered probes a second apart end the connection.  */
void cs_channel_enable_keepalive (cs_channel_t *channel, int idle_s,
                                  int count);

#endif
