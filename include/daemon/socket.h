/* TCP sockets.  Addresses are a numeric IPv4 address and a port, as in
   127.0.0.1:80.  */

#ifndef CS_DAEMON_SOCKET_H
#define CS_DAEMON_SOCKET_H

#include "common/str.h"

/* Listens on ADDRESS and returns the socket, or -1 on failure.  Sets *BOUND to
   the bound address, with the port that the kernel chose if ADDRESS has port
   0.  */
int cs_socket_listen (const char *address, cs_name_t *bound);

/* Connects to ADDRESS within 500 ms.  Returns the socket in blocking mode, or
   -1 on failure.  */
int cs_socket_connect (const char *address);

#endif
