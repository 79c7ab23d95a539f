#include "common/compress.h"

#include <string.h>

#include <zlib.h>

#include "common/error.h"

#define CHUNK_BYTES 4096

int
cs_compress (cs_str_t data, cs_buf_t *out)
{
  unsigned char chunk[CHUNK_BYTES];
  z_stream stream;
  int rc = CS_OK;
  int status = Z_OK;
  memset (&stream, 0, sizeof stream);
  if (deflateInit (&stream, Z_BEST_SPEED) != Z_OK)
    return CS_ERR_NO_MEMORY;
  stream.next_in = (unsigned char *)data.data;
  stream.avail_in = (unsigned)data.len;
  while (rc == 0 && status == Z_OK)
    {
      stream.next_out = chunk;
      stream.avail_out = sizeof chunk;
      status = deflate (&stream, Z_FINISH);
      rc = cs_buf_append (out, (cs_str_t){ (const char *)chunk,
                                           sizeof chunk - stream.avail_out });
    }
  deflateEnd (&stream);
  return rc;
}

int
cs_decompress (cs_str_t data, size_t max_len, cs_buf_t *out)
{
  unsigned char chunk[CHUNK_BYTES];
  z_stream stream;
  int rc = CS_OK;
  int status = Z_OK;
  memset (&stream, 0, sizeof stream);
  if (inflateInit (&stream) != Z_OK)
    return CS_ERR_NO_MEMORY;
  stream.next_in = (unsigned char *)data.data;
  stream.avail_in = (unsigned)data.len;
  while (rc == 0 && status == Z_OK)
    {
      stream.next_out = chunk;
      stream.avail_out = sizeof chunk;
      status = inflate (&stream, Z_NO_FLUSH);
      size_t produced = sizeof chunk - stream.avail_out;
      if (out->len + produced > max_len)
        rc = CS_ERR_BAD_FRAME;
      else
        rc = cs_buf_append (out, (cs_str_t){ (const char *)chunk, produced });
    }
  inflateEnd (&stream);
  if (rc == 0 && status != Z_STREAM_END)
    rc = CS_ERR_BAD_FRAME;
  return rc;
}
