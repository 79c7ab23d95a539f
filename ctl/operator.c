#include "operator.h"

#include <stdio.h>

#include "common/address.h"
#include "common/error.h"
#include "http/client.h"

#define TIMEOUT_MS 5000

typedef struct
{
  cs_time_us_t deadline;
  int status;
} response_t;

static int
on_head (void *context, const cs_http_head_t *head)
{
  ((response_t *)context)->status = head->status;
  return 0;
}

static int
on_body (void *context, cs_str_t part)
{
  return fwrite (part.data, 1, part.len, stdout) == part.len ? 0 : CS_ERR_CUT;
}

static cs_time_us_t
response_deadline (void *context)
{
  return ((const response_t *)context)->deadline;
}

static int
send_request (const cs_options_t *options, const char *method,
              const char *path, cs_str_t head)
{
  static const cs_http_sink_t sink = { .on_head = on_head,
                                       .on_body = on_body,
                                       .timeout_at = response_deadline };
  cs_http_call_t call = { .head = head, .connect_ms = TIMEOUT_MS };
  response_t response
      = { .deadline = cs_clock_now () + TIMEOUT_MS * CS_US_PER_MS };
  bool was_sent;
  if (cs_address_parse (cs_str (options->host), &call.address) != 0)
    {
      fprintf (stderr, "cranberrystilectl: %s is not an IP address and port\n",
               options->host);
      return CS_EXIT_USAGE;
    }
  cs_http_client_t *client = cs_http_client_create ();
  int rc = client == NULL ? CS_ERR_NO_MEMORY
                          : cs_http_client_call (client, &call, &sink,
                                                 &response, &was_sent);
  cs_http_client_destroy (client);
  if (rc != 0)
    {
      fprintf (stderr, "cranberrystilectl: %s%s: %s\n", options->host, path,
               cs_error_name (rc));
      return CS_EXIT_FAILED;
    }
  if (response.status < 300)
    return 0;
  fprintf (stderr, "cranberrystilectl: %s %s%s: status %d\n", method,
           options->host, path, response.status);
  return CS_EXIT_FAILED;
}

int
cs_operator_call (const cs_options_t *options, const char *method,
                  const char *path)
{
  cs_buf_t head = { 0 };
  int status = CS_EXIT_FAILED;
  if (options->host == NULL)
    {
      fprintf (stderr, "cranberrystilectl: --host is required\n");
      return CS_EXIT_USAGE;
    }
  if (cs_buf_printf (&head,
                     "%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer "
                     "%s\r\nConnection: close\r\n\r\n",
                     method, path, options->host, options->key)
      == 0)
    status = send_request (options, method, path, cs_buf_str (&head));
  cs_buf_free (&head);
  return status;
}
