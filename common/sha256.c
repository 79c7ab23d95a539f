#include "common/sha256.h"

#include <stdio.h>

#include <openssl/sha.h>

void
cs_sha256_hex (cs_str_t s, char out[65])
{
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256 ((const unsigned char *)s.data, s.len, digest);
  for (int i = 0; i < SHA256_DIGEST_LENGTH; i++)
    snprintf (out + (size_t)i * 2, 3, "%02x", digest[i]);
}
