#include "http/response.h"

#include <http_parser.h>

const char *
cs_http_reason (int status)
{
  return http_status_str ((enum http_status)status);
}

int
cs_http_write_status (int status, cs_buf_t *out)
{
  return cs_buf_printf (out, "HTTP/1.1 %d %s\r\n", status,
                        cs_http_reason (status));
}

int
cs_http_write_response (int status, cs_str_t fields, cs_str_t body,
                        bool no_body, bool close, cs_buf_t *out)
{
  int rc = cs_http_write_status (status, out);
  if (rc == 0)
    rc = cs_buf_append (out, fields);
  if (rc == 0)
    rc = cs_buf_printf (out, "Content-Length: %zu\r\n%s\r\n", body.len,
                        close ? "Connection: close\r\n" : "");
  if (rc == 0 && !no_body)
    rc = cs_buf_append (out, body);
  return rc;
}

int
cs_http_write_chunk (cs_str_t data, cs_buf_t *out)
{
  int rc = cs_buf_printf (out, "%zx\r\n", data.len);
  if (rc == 0)
    rc = cs_buf_append (out, data);
  return rc != 0 ? rc : cs_buf_append (out, cs_str ("\r\n"));
}
