/* zlib compression, for documents sent over links of low bandwidth.  */

#ifndef CS_COMMON_COMPRESS_H
#define CS_COMMON_COMPRESS_H

#include "common/str.h"

/* Appends the compressed form of DATA to OUT.  Returns 0 or CS_ERR_NO_MEMORY.
 */
int cs_compress (cs_str_t data, cs_buf_t *out);

/* Appends the decompressed DATA to OUT.  Returns 0, CS_ERR_NO_MEMORY, or
   CS_ERR_BAD_FRAME when DATA is corrupt or OUT would exceed MAX_LEN bytes.  */
int cs_decompress (cs_str_t data, size_t max_len, cs_buf_t *out);

#endif
