/* Accepts TCP connections on an event loop.  */

#ifndef CS_NET_LISTENER_H
#define CS_NET_LISTENER_H

#include "common/str.h"
#include "net/loop.h"

typedef struct cs_listener cs_listener_t;

/* Listens on ADDRESS, "IP:PORT".  ON_ACCEPT takes ownership of FD, which is
   non-blocking.  Returns NULL and sets errno on failure, to EINVAL when
   ADDRESS cannot be parsed.  */
cs_listener_t *cs_listener_create (cs_loop_t *loop, cs_str_t address,
                                   void (*on_accept) (void *context, int fd),
                                   void *context);
/* Accepts the connections that wait to be accepted.  */
void cs_listener_accept_pending (cs_listener_t *listener);

void cs_listener_destroy (cs_listener_t *listener);

#endif
