#include "cranberrystile/fingerprint.h"

#include "common/hash.h"

uint64_t
cs_fingerprint (const cs_fingerprint_request_t *request)
{
  const cs_str_t fields[] = { request->method, request->host, request->target,
                              request->organisation, request->body };
  uint64_t hash = 0;
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    hash = cs_hash_pair (cs_hash (fields[i], hash), fields[i].len);
  return hash;
}
