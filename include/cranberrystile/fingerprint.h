/* Tells requests that ask for the same thing: callers give each attempt an id
   of its own.  */

#ifndef CS_FINGERPRINT_H
#define CS_FINGERPRINT_H

#include <stdint.h>

#include "common/str.h"

typedef struct
{
  cs_str_t method;
  cs_str_t host;
  cs_str_t target;       /* path and query */
  cs_str_t organisation; /* of the caller; may be empty */
  cs_str_t body;
} cs_fingerprint_request_t;

/* Equal requests have equal fingerprints, different ones nearly never.  */
uint64_t cs_fingerprint (const cs_fingerprint_request_t *request);

#endif
