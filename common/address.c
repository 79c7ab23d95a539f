#include "common/address.h"

#include <arpa/inet.h>
#include <string.h>

#include "common/error.h"

int
cs_address_parse (cs_str_t text, struct sockaddr_in *address)
{
  char host[INET_ADDRSTRLEN];
  uint64_t port;
  if (text.len == 0)
    return CS_ERR_BAD_REQUEST;
  const char *colon = memrchr (text.data, ':', text.len);
  if (colon == NULL || (size_t)(colon - text.data) >= sizeof host)
    return CS_ERR_BAD_REQUEST;
  size_t len = (size_t)(colon - text.data);
  memcpy (host, text.data, len);
  host[len] = '\0';
  cs_str_t port_text = { colon + 1, text.len - len - 1 };
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  if (inet_pton (AF_INET, host, &address->sin_addr) != 1
      || cs_str_to_u64 (port_text, &port) != 0 || port > UINT16_MAX)
    return CS_ERR_BAD_REQUEST;
  address->sin_port = htons ((uint16_t)port);
  return CS_OK;
}
