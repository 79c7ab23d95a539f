#include "server.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int
drop_message (const struct mg_connection *connection, const char *message)
{
  return 1;
}

int
stand_in_serve (const char *listen, mg_request_handler handler, void *context)
{
  sigset_t set;
  int signal_number;
  struct mg_server_port port;
  struct mg_callbacks callbacks = { .log_message = drop_message };
  const char *options[] = { "listening_ports",
                            listen,
                            "num_threads",
                            "450",
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            "60000",
                            "request_timeout_ms",
                            "60000",
                            "tcp_nodelay",
                            "1",
                            "connection_queue",
                            "256",
                            "decode_url",
                            "no",
                            NULL };
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  struct mg_context *server = mg_start (&callbacks, context, options);
  if (server == NULL || mg_get_server_ports (server, 1, &port) != 1)
    {
      fprintf (stderr, "cannot listen on %s\n", listen);
      return EXIT_FAILURE;
    }
  mg_set_request_handler (server, "**", handler, context);
  printf ("listening 127.0.0.1:%d\n", port.port);
  fflush (stdout);
  sigwait (&set, &signal_number);
  /* mg_stop would wait for streams that hang.  */
  _exit (0);
}

long
stand_in_query (const struct mg_request_info *info, const char *name,
                long fallback)
{
  char text[32];
  const char *query = info->query_string;
  if (query == NULL
      || mg_get_var (query, strlen (query), name, text, sizeof text) <= 0)
    return fallback;
  return strtol (text, NULL, 10);
}

char *
stand_in_body (struct mg_connection *connection, size_t *len)
{
  char part[8192];
  char *body = malloc (1);
  int got;
  *len = 0;
  while (body != NULL && (got = mg_read (connection, part, sizeof part)) > 0)
    {
      char *grown = realloc (body, *len + (size_t)got + 1);
      if (grown == NULL)
        break;
      body = grown;
      memcpy (body + *len, part, (size_t)got);
      *len += (size_t)got;
    }
  if (body != NULL)
    body[*len] = '\0';
  return body;
}

void
stand_in_respond (struct mg_connection *connection, int status, json_t *body,
                  const char *extra_headers)
{
  char *text = json_dumps (body, JSON_COMPACT);
  mg_printf (connection,
             "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n%s\r\n%s",
             status, strlen (text), extra_headers, text);
  free (text);
  json_decref (body);
}

void
stand_in_sleep_ms (long ms)
{
  if (ms > 0)
    poll (NULL, 0, (int)ms);
}
