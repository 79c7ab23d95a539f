#include "operator.h"

#include <stdio.h>

#include <curl/curl.h>

#define TIMEOUT_S 5L

static int
perform (CURL *handle, const char *url, const char *authorization,
         const char *method)
{
  long status = 0;
  struct curl_slist *headers = curl_slist_append (NULL, authorization);
  curl_easy_setopt (handle, CURLOPT_URL, url);
  curl_easy_setopt (handle, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (handle, CURLOPT_TIMEOUT, TIMEOUT_S);
  curl_easy_setopt (handle, CURLOPT_PROXY, "");
  CURLcode code = curl_easy_perform (handle);
  curl_easy_getinfo (handle, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  if (code != CURLE_OK)
    {
      fprintf (stderr, "cranberrystilectl: %s: %s\n", url,
               curl_easy_strerror (code));
      return CS_EXIT_FAILED;
    }
  if (status < 300)
    return 0;
  fprintf (stderr, "cranberrystilectl: %s: status %ld\n", url, status);
  return CS_EXIT_FAILED;
}

int
cs_operator_call (const cs_options_t *options, const char *method,
                  const char *path)
{
  cs_buf_t url = { 0 };
  cs_buf_t authorization = { 0 };
  int status = CS_EXIT_FAILED;
  if (options->host == NULL)
    {
      fprintf (stderr, "cranberrystilectl: --host is needed\n");
      return CS_EXIT_USAGE;
    }
  CURL *handle = curl_easy_init ();
  if (handle != NULL
      && cs_buf_printf (&url, "http://%s%s", options->host, path) == 0
      && cs_buf_printf (&authorization, "Authorization: Bearer %s",
                        options->key)
             == 0)
    status = perform (handle, url.data, authorization.data, method);
  curl_easy_cleanup (handle);
  cs_buf_free (&url);
  cs_buf_free (&authorization);
  return status;
}
