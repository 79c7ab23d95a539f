/* A TCP connection on an event loop.  Output that the kernel does not take at
   once is queued; the owner bounds the queue by pausing the peer that fills
   it.  */

#ifndef CS_NET_CHANNEL_H
#define CS_NET_CHANNEL_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "common/str.h"
#include "net/loop.h"

typedef struct cs_channel cs_channel_t;

/* Any of these may close the channel; after that none is called any more.  */
typedef struct
{
  /* An outgoing connection stands.  May be NULL.  */
  void (*on_open) (void *context);
  /* DATA is valid during the call only.  */
  void (*on_data) (void *context, cs_str_t data);
  /* The peer has closed cleanly (CS_OK), the connection was cut (CS_ERR_CUT),
     or it could not be opened (CS_ERR_CONNECT).  The owner still closes.  */
  void (*on_end) (void *context, int error);
  /* All queued output is with the kernel.  May be NULL.  */
  void (*on_drained) (void *context);
} cs_channel_handlers_t;

/* Opens a connection to ADDRESS.  CONNECT_US bounds the time until it stands,
   and then how long sent bytes may stay unacknowledged is USER_TIMEOUT_US
   (0: the system's).  Returns NULL when there is no descriptor or memory.  */
cs_channel_t *
cs_channel_connect (cs_loop_t *loop, const struct sockaddr_in *address,
                    cs_time_us_t connect_us, cs_time_us_t user_timeout_us,
                    const cs_channel_handlers_t *handlers, void *context);

/* Takes over FD, an accepted connection.  Closes FD and returns NULL without
   memory.  */
cs_channel_t *cs_channel_adopt (cs_loop_t *loop, int fd,
                                const cs_channel_handlers_t *handlers,
                                void *context);

/* Gives the channel to another owner, who has sent nothing yet.  */
void cs_channel_set_owner (cs_channel_t *channel,
                           const cs_channel_handlers_t *handlers,
                           void *context);

/* Closes at once, queued output included, and frees the channel, if need be
   when its callback has returned.  */
void cs_channel_close (cs_channel_t *channel);

/* Sends what is queued, then closes cleanly; the owner hears no more of it.
   What the peer still sends is read and dropped for a short time, so that it
   is not reset before it has read the end.  */
void cs_channel_finish (cs_channel_t *channel);

/* Closes all channels that are finishing, before their loop is destroyed.  */
void cs_channels_close_finishing (cs_loop_t *loop);

/* Sends or queues DATA.  Returns 0 or CS_ERR_NO_MEMORY; a connection that
   fails is reported to on_end later.  */
int cs_channel_send (cs_channel_t *channel, cs_str_t data);

/* Bytes queued and not yet with the kernel.  */
size_t cs_channel_queued (const cs_channel_t *channel);

/* Whether any byte of this owner was handed to the kernel.  */
bool cs_channel_has_sent (const cs_channel_t *channel);

/* Stops or resumes reading.  A paused channel does not notice its end.  */
void cs_channel_pause (cs_channel_t *channel, bool paused);

/* Whether the peer has closed its side or broken the connection, as far as is
   known here; the channel itself notices it in a later turn of the loop.  */
bool cs_channel_has_ended (const cs_channel_t *channel);

/* Has the kernel probe a silent peer: first after IDLE_S, then COUNT times a
   second apart.  */
void cs_channel_probe_peer (cs_channel_t *channel, int idle_s, int count);

#endif
