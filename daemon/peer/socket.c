#include "daemon/socket.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/error.h"

#define CONNECT_TIMEOUT_MS 500

static int
parse_address (const char *text, struct sockaddr_in *out)
{
  char host[64];
  const char *colon = strrchr (text, ':');
  uint64_t port;
  memset (out, 0, sizeof *out);
  if (colon == NULL || (size_t)(colon - text) >= sizeof host
      || cs_str_to_u64 (cs_str (colon + 1), &port) != 0 || port > 65535)
    return CS_ERR_BAD_REQUEST;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, host, &out->sin_addr) == 1 ? 0
                                                        : CS_ERR_BAD_REQUEST;
}

int
cs_socket_listen (const char *address, cs_name_t *bound)
{
  struct sockaddr_in bound_address;
  socklen_t len = sizeof bound_address;
  char host[64];
  char text[CS_NAME_MAX + 1];
  int on = 1;
  if (parse_address (address, &bound_address) != 0)
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&bound_address, sizeof bound_address) != 0
      || listen (fd, 128) != 0
      || getsockname (fd, (struct sockaddr *)&bound_address, &len) != 0)
    {
      close (fd);
      return -1;
    }
  inet_ntop (AF_INET, &bound_address.sin_addr, host, sizeof host);
  snprintf (text, sizeof text, "%s:%u", host, ntohs (bound_address.sin_port));
  cs_name_set (bound, cs_str (text));
  return fd;
}

int
cs_socket_connect (const char *address)
{
  struct sockaddr_in peer_address;
  int error = 0;
  socklen_t len = sizeof error;
  if (parse_address (address, &peer_address) != 0)
    return -1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&peer_address, sizeof peer_address) != 0
      && errno != EINPROGRESS)
    goto fail;
  struct pollfd wait = { fd, POLLOUT, 0 };
  if (poll (&wait, 1, CONNECT_TIMEOUT_MS) != 1
      || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
      || error != 0)
    goto fail;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
fail:
  close (fd);
  return -1;
}
