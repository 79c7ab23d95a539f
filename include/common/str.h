/* Strings with an explicit length: views, short names and growing buffers.  */

#ifndef CS_COMMON_STR_H
#define CS_COMMON_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A non-owning view of bytes; not necessarily zero-terminated.  */
typedef struct
{
  const char *data;
  size_t len;
} cs_str_t;

/* Maximum length in bytes of the name of an organisation, service, target,
   host or data centre: that of a host name in the DNS is 253.  */
#define CS_NAME_MAX 255

/* A short name stored by value.  TEXT is zero-terminated for printing.  */
typedef struct
{
  uint8_t len;
  char text[CS_NAME_MAX + 1];
} cs_name_t;

/* A growing byte buffer.  DATA is NULL until something is appended, and then
   zero-terminated.  Zero-initialise; release with cs_buf_free.  */
typedef struct
{
  char *data;
  size_t len;
  size_t capacity;
} cs_buf_t;

/* Arguments for a "%.*s" conversion.  */
#define CS_STR_ARG(s) (int)(s).len, (s).data

cs_str_t cs_str (const char *zero_terminated);
bool cs_str_equal (cs_str_t a, cs_str_t b);
bool cs_str_starts_with (cs_str_t s, cs_str_t prefix);

/* Parses S, which must consist of 1 to 18 decimal digits.  Returns 0 or
   CS_ERR_BAD_REQUEST.  */
int cs_str_to_u64 (cs_str_t s, uint64_t *value);

/* Whether TEXT is a valid name: not empty and at most CS_NAME_MAX bytes.  */
bool cs_name_is_valid (const char *text);

/* Copies S into NAME, truncated to CS_NAME_MAX bytes.  Returns false when
   truncated.  */
bool cs_name_set (cs_name_t *name, cs_str_t s);
cs_str_t cs_name_str (const cs_name_t *name);
bool cs_name_equal (const cs_name_t *a, const cs_name_t *b);

/* Both append to BUF and return 0, or CS_ERR_NO_MEMORY with BUF unchanged.  */
int cs_buf_append (cs_buf_t *buf, cs_str_t s);
int cs_buf_printf (cs_buf_t *buf, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
cs_str_t cs_buf_str (const cs_buf_t *buf);
/* Empties BUF but keeps its memory.  */
void cs_buf_clear (cs_buf_t *buf);
void cs_buf_free (cs_buf_t *buf);

#endif
