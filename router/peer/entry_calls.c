#include "router/peer/entry_calls.h"

#include "platform/store.h"

static void
call (const cs_router_settings_t *settings, cs_store_client_t *client,
      const char *method, const cs_buf_t *path, const cs_buf_t *body)
{
  cs_store_client_call (client, method, cs_buf_str (path), cs_buf_str (body),
                        settings->call_timeout_ms * CS_US_PER_MS);
}

/* NAME is empty to create the entry.  */
static void
write_entry (const cs_router_settings_t *settings, cs_store_client_t *client,
             const char *method, cs_str_t name, uint32_t renewals)
{
  cs_router_entry_t entry
      = { .name = cs_str (settings->name),
          .data_centre = cs_str (settings->data_centre),
          .address = cs_str (settings->peers),
          .capacity = cs_router_settings_capacity (settings),
          .renewals = renewals };
  cs_buf_t path = { 0 };
  cs_buf_t body = { 0 };
  if (cs_store_object_path (CS_STORE_ROUTERS, name, &path) == 0
      && cs_store_write_router (&entry, &body) == 0)
    call (settings, client, method, &path, &body);
  cs_buf_free (&path);
  cs_buf_free (&body);
}

void
cs_entry_create (const cs_router_settings_t *settings,
                 cs_store_client_t *client, uint32_t renewals)
{
  write_entry (settings, client, "POST", (cs_str_t){ "", 0 }, renewals);
}

void
cs_entry_renew (const cs_router_settings_t *settings,
                cs_store_client_t *client, uint32_t renewals)
{
  write_entry (settings, client, "PUT", cs_str (settings->name), renewals);
}

void
cs_entry_list (const cs_router_settings_t *settings, cs_store_client_t *client,
               cs_str_t after)
{
  cs_buf_t path = { 0 };
  cs_buf_t body = { 0 };
  if (cs_store_stale_list_path (CS_STORE_ROUTERS, after, &path) == 0)
    call (settings, client, "GET", &path, &body);
  cs_buf_free (&path);
}

void
cs_entry_remove (const cs_router_settings_t *settings,
                 cs_store_client_t *client, cs_str_t name, uint64_t revision)
{
  cs_buf_t path = { 0 };
  cs_buf_t body = { 0 };
  int rc = revision == 0 ? cs_store_object_path (CS_STORE_ROUTERS, name, &path)
                         : cs_store_object_at_path (CS_STORE_ROUTERS, name,
                                                    revision, &path);
  if (rc == 0)
    call (settings, client, "DELETE", &path, &body);
  cs_buf_free (&path);
}
