/* TCP sockets by IPv4 number and port.  */

#ifndef CS_DAEMON_SOCKET_H
#define CS_DAEMON_SOCKET_H

#include "common/str.h"

/* Listens on ADDRESS and returns the socket, or -1.  BOUND receives the
   address with the port that the kernel chose.  */
int cs_socket_listen (const char *address, cs_name_t *bound);

/* Connects to ADDRESS within half a second.  Returns the socket, or -1.  */
int cs_socket_connect (const char *address);

#endif
