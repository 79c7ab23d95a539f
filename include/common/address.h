/* Parsing of IPv4 socket addresses.  */

#ifndef CS_COMMON_ADDRESS_H
#define CS_COMMON_ADDRESS_H

#include <netinet/in.h>

#include "common/str.h"

/* Parses "IP:PORT" with a numeric IP.  Returns 0 or CS_ERR_BAD_REQUEST.  */
int cs_address_parse (cs_str_t text, struct sockaddr_in *address);

#endif
