#include "daemon/orders.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "cranberrystile/lease.h"
#include "daemon/target_call.h"

#define LEASE_DURATION_S 6
#define TICK_MS 250
#define LOAD_REPORT_TIMEOUT_MS 1000

struct cs_orders
{
  const cs_settings_t *settings;
  cs_platform_t *platform;
  cs_members_t *members;
  cs_endpoints_t *endpoints;
  cs_configuration_t *configuration;
  cs_counters_t *counters;
  atomic_bool stopping;
  atomic_bool holds_lease;
  pthread_t thread;
  /* The members below are used by the thread only.  */
  char lease_name[CS_NAME_MAX + 16];
  cs_name_t self;
  cs_lease_t lease;
  char lease_version[64];
  bool lease_exists;
  cs_time_us_t next_lease_check;
  cs_time_us_t next_order;
  size_t next_target;
};

/* Applies the lease object OBJECT read from the platform.  */
static void
observe_lease (cs_orders_t *orders, const json_t *object, cs_time_us_t now)
{
  cs_lease_record_t record = { 0 };
  const char *holder = "";
  json_int_t transitions = 0;
  int duration = 0;
  const char *version = cs_platform_resource_version (object);
  json_unpack ((json_t *)cs_platform_spec (object), "{s?s, s?I, s?i}",
               "holderIdentity", &holder, "leaseTransitions", &transitions,
               "leaseDurationSeconds", &duration);
  cs_name_set (&record.holder, cs_str (holder));
  record.transitions = transitions < 0 ? 0 : (uint64_t)transitions;
  record.duration_s = duration <= 0 ? LEASE_DURATION_S : (uint32_t)duration;
  (void)cs_str_to_u64 (cs_str (version), &record.version);
  snprintf (orders->lease_version, sizeof orders->lease_version, "%s",
            version);
  orders->lease_exists = true;
  cs_lease_observe (&orders->lease, &record, cs_name_str (&orders->self), now);
}

static int
fetch_lease (cs_orders_t *orders)
{
  json_t *object = NULL;
  int rc = cs_platform_get (orders->platform, CS_KIND_LEASE,
                            orders->lease_name, &object);
  cs_time_us_t now = cs_clock_now ();
  if (rc == 0)
    observe_lease (orders, object, now);
  else if (rc == CS_ERR_NOT_FOUND)
    {
      cs_lease_record_t unheld = { .duration_s = LEASE_DURATION_S };
      orders->lease_exists = false;
      cs_lease_observe (&orders->lease, &unheld, cs_name_str (&orders->self),
                        now);
      rc = 0;
    }
  json_decref (object);
  return rc;
}

/* Renews the lease or acquires it.  Each change of the holder increments the
   transitions, which serve as fencing number.  */
static void
write_lease (cs_orders_t *orders, bool renew)
{
  json_t *object = NULL;
  cs_time_us_t started = cs_clock_now ();
  uint64_t transitions = orders->lease.record.transitions + (renew ? 0 : 1);
  json_t *spec
      = json_pack ("{s:s, s:I, s:i}", "holderIdentity", orders->self.text,
                   "leaseTransitions", (json_int_t)transitions,
                   "leaseDurationSeconds", LEASE_DURATION_S);
  if (spec == NULL)
    return;
  int rc = orders->lease_exists
               ? cs_platform_replace (orders->platform, CS_KIND_LEASE,
                                      orders->lease_name,
                                      orders->lease_version, spec, &object)
               : cs_platform_create_object (orders->platform, CS_KIND_LEASE,
                                            orders->lease_name, spec, &object);
  json_decref (spec);
  if (rc == 0)
    {
      cs_lease_record_t record
          = { .transitions = transitions, .duration_s = LEASE_DURATION_S };
      record.holder = orders->self;
      snprintf (orders->lease_version, sizeof orders->lease_version, "%s",
                cs_platform_resource_version (object));
      (void)cs_str_to_u64 (cs_str (orders->lease_version), &record.version);
      orders->lease_exists = true;
      cs_lease_written (&orders->lease, &record, started,
                        orders->settings->order_ms * CS_US_PER_MS);
      if (!renew)
        cs_log (CS_EV_LEASE_ACQUIRED, "lease=%s fencing=%llu",
                orders->lease_name, (unsigned long long)transitions);
    }
  json_decref (object);
}

/* Acquires or renews the lease if that is due.  */
static void
maintain_lease (cs_orders_t *orders)
{
  cs_time_us_t now = cs_clock_now ();
  bool held_lease = atomic_load (&orders->holds_lease);
  if (now >= orders->next_lease_check)
    {
      orders->next_lease_check = now + CS_US_PER_S;
      if (fetch_lease (orders) == 0)
        switch (cs_lease_next (&orders->lease, cs_name_str (&orders->self),
                               cs_clock_now ()))
          {
          case CS_LEASE_ACQUIRE:
            write_lease (orders, false);
            break;
          case CS_LEASE_RENEW:
            write_lease (orders, true);
            break;
          case CS_LEASE_WAIT:
            break;
          }
    }
  bool holds_lease = cs_lease_is_valid (&orders->lease, cs_clock_now ());
  atomic_store (&orders->holds_lease, holds_lease);
  if (held_lease && !holds_lease)
    cs_log (CS_EV_LEASE_LOST, "lease=%s", orders->lease_name);
}

static int
check_order_status (void *context, const cs_call_head_t *head)
{
  if (head->status == 200)
    return 0;
  return head->status == 409 ? CS_ERR_CONFLICT : CS_ERR_REFUSED;
}

static int
append_response (void *context, cs_str_t part)
{
  cs_buf_t *response = context;
  return response->len + part.len > 65536 ? CS_ERR_WRONG_ANSWER
                                          : cs_buf_append (response, part);
}

/* Fetches the version that the engine has loaded.  */
static int
fetch_loaded_version (cs_orders_t *orders, cs_endpoint_t *endpoint,
                      cs_name_t *version)
{
  cs_buf_t response = { 0 };
  cs_target_load_t load;
  cs_call_sink_t sink
      = { &response, check_order_status, append_response, NULL };
  cs_call_request_t request = {
    .method = "GET",
    .path = "/load",
    .request_id = cs_str ("order-look"),
    .repeatable = true,
    .deadline = cs_clock_now () + LOAD_REPORT_TIMEOUT_MS * CS_US_PER_MS,
  };
  int rc = cs_target_call (endpoint, orders->settings, &request, &sink);
  if (rc == 0
      && !cs_target_load_parse (cs_buf_str (&response), cs_clock_now (),
                                &load))
    rc = CS_ERR_WRONG_ANSWER;
  if (rc == 0)
    *version = load.version;
  cs_buf_free (&response);
  return rc;
}

static int
send_order (cs_orders_t *orders, cs_endpoint_t *endpoint)
{
  cs_buf_t body = { 0 };
  cs_buf_t response = { 0 };
  const cs_target_t *target = cs_endpoint_target (endpoint);
  cs_call_sink_t sink
      = { &response, check_order_status, append_response, NULL };
  cs_time_us_t now = cs_clock_now ();
  int rc = cs_buf_printf (
      &body, "{\"model\":\"%s\",\"version\":\"%s\",\"fencing\":%llu}",
      target->offering.text, target->version.text,
      (unsigned long long)orders->lease.record.transitions);
  cs_call_request_t request = {
    .method = "POST",
    .path = "/v1/models/load",
    .request_id = cs_str ("order"),
    .headers = { "Content-Type: application/json" },
    .deadline = now + orders->settings->order_ms * CS_US_PER_MS,
  };
  request.body = cs_buf_str (&body);
  /* Check the lease as the last step before the order is sent.  A pause of
     this process before the check is covered by the check itself; for one
     after it, the next holder waits before it sends orders.  */
  if (rc == 0
      && !cs_lease_may_order (&orders->lease, target->checks_fencing,
                              orders->settings->order_ms * CS_US_PER_MS,
                              cs_clock_now ()))
    rc = CS_ERR_CONFLICT;
  if (rc == 0)
    rc = cs_target_call (endpoint, orders->settings, &request, &sink);
  cs_buf_free (&body);
  cs_buf_free (&response);
  return rc;
}

/* Whether one more target of the offering may be loading a version, given the
   minimum share of live targets.  */
static bool
min_live_allows (cs_orders_t *orders, const cs_endpoint_t *endpoint)
{
  cs_endpoint_t **list;
  cs_offering_t offering;
  size_t live = 0;
  const cs_name_t *name = &cs_endpoint_target (endpoint)->offering;
  if (!cs_configuration_offering (orders->configuration, cs_name_str (name),
                                  &offering))
    return false;
  size_t count
      = cs_endpoints_list (orders->endpoints, cs_name_str (name), &list);
  for (size_t i = 0; i < count; i++)
    if (!cs_endpoint_is_leaving (list[i]))
      live++;
  cs_endpoints_free_list (list, count);
  /* With a single target the minimum cannot be kept: it loads while it serves.
   */
  if (count == 1)
    return true;
  return live > 0 && (live - 1) * 100 >= count * offering.min_live_percent;
}

static void
order_if_needed (cs_orders_t *orders, cs_endpoint_t *endpoint)
{
  cs_name_t loaded;
  const cs_target_t *target = cs_endpoint_target (endpoint);
  if (fetch_loaded_version (orders, endpoint, &loaded) != 0
      || cs_name_equal (&loaded, &target->version)
      || !min_live_allows (orders, endpoint))
    return;
  int rc = send_order (orders, endpoint);
  orders->next_order
      = cs_clock_now () + orders->settings->load_pause_ms * CS_US_PER_MS;
  cs_counters_add (orders->counters, CS_COUNTER_ORDERS, 1);
  cs_log (rc == 0 ? CS_EV_ORDER_SENT : CS_EV_ORDER_REFUSED,
          "target=%s version=%s fencing=%llu error=%s", target->name.text,
          target->version.text,
          (unsigned long long)orders->lease.record.transitions,
          cs_error_name (rc));
}

/* Checks the next target of this data centre that has a version in the
   release, in round-robin order.  */
static void
reconcile (cs_orders_t *orders)
{
  cs_endpoint_t **list;
  cs_str_t all = { NULL, 0 };
  size_t count = cs_endpoints_list (orders->endpoints, all, &list);
  for (size_t i = 0; i < count; i++)
    {
      cs_endpoint_t *endpoint = list[orders->next_target++ % count];
      const cs_target_t *target = cs_endpoint_target (endpoint);
      if (target->version.len == 0 || cs_endpoint_is_leaving (endpoint)
          || strcmp (target->data_centre.text, orders->settings->data_centre)
                 != 0)
        continue;
      order_if_needed (orders, endpoint);
      break;
    }
  cs_endpoints_free_list (list, count);
}

static void *
run_orders (void *argument)
{
  cs_orders_t *orders = argument;
  while (!atomic_load (&orders->stopping))
    {
      maintain_lease (orders);
      if (atomic_load (&orders->holds_lease)
          && cs_clock_now () >= orders->next_order)
        reconcile (orders);
      poll (NULL, 0, TICK_MS);
    }
  return NULL;
}

cs_orders_t *
cs_orders_create (const cs_settings_t *settings, cs_platform_t *platform,
                  cs_members_t *members, cs_endpoints_t *endpoints,
                  cs_configuration_t *configuration, cs_counters_t *counters)
{
  char self[64];
  cs_orders_t *orders = calloc (1, sizeof *orders);
  if (orders == NULL)
    return NULL;
  orders->settings = settings;
  orders->platform = platform;
  orders->members = members;
  orders->endpoints = endpoints;
  orders->configuration = configuration;
  orders->counters = counters;
  snprintf (self, sizeof self, "%016llx",
            (unsigned long long)cs_members_self (members)->id);
  cs_name_set (&orders->self, cs_str (self));
  snprintf (orders->lease_name, sizeof orders->lease_name, "orders-%.*s",
            CS_NAME_MAX, settings->data_centre);
  if (pthread_create (&orders->thread, NULL, run_orders, orders) != 0)
    {
      free (orders);
      return NULL;
    }
  return orders;
}

void
cs_orders_destroy (cs_orders_t *orders)
{
  if (orders == NULL)
    return;
  atomic_store (&orders->stopping, true);
  pthread_join (orders->thread, NULL);
  free (orders);
}

bool
cs_orders_holds_lease (cs_orders_t *orders)
{
  return atomic_load (&orders->holds_lease);
}
