/* SHA-256.  Separate from common/hash.h so that programs that do not use it do
   not load OpenSSL.  */

#ifndef CS_COMMON_SHA256_H
#define CS_COMMON_SHA256_H

#include "common/str.h"

/* Writes the SHA-256 of S as 64 lower-case hex digits and a terminating zero.
 */
void cs_sha256_hex (cs_str_t s, char out[65]);

#endif
