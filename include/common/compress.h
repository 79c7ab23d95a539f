/* Compressed byte strings (zlib), for documents that go over thin links.  */

#ifndef CS_COMMON_COMPRESS_H
#define CS_COMMON_COMPRESS_H

#include "common/str.h"

/* Appends DATA compressed.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_compress (cs_str_t data, cs_buf_t *out);

/* Appends what DATA holds compressed, up to MOST bytes.  Returns 0,
   CS_ERR_NO_MEMORY, or CS_ERR_BAD_FRAME for data that is damaged or longer. */
int cs_decompress (cs_str_t data, size_t most, cs_buf_t *out);

#endif
