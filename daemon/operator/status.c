/* GET /status: the state of this host and its view of the fleet.  */

#include <stdlib.h>

#include "daemon/handlers.h"

#define MAX_HOSTS 512

static json_t *
hosts_to_json (cs_daemon_t *daemon)
{
  json_t *list = json_array ();
  cs_time_us_t now = cs_clock_now ();
  cs_host_t *hosts = calloc (MAX_HOSTS, sizeof *hosts);
  if (hosts == NULL)
    return list;
  size_t count = cs_members_copy (daemon->members, hosts, MAX_HOSTS);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (
        list,
        json_pack ("{s:s, s:s, s:b, s:b, s:I}", "name", hosts[i].name.text,
                   "data_centre", hosts[i].data_centre.text, "live",
                   cs_members_is_live (daemon->members, hosts[i].id, now),
                   "leaving", hosts[i].leaving, "revision",
                   (json_int_t)hosts[i].revision));
  free (hosts);
  return list;
}

int
cs_operate_status (cs_daemon_t *daemon, const char *query, cs_buf_t *body,
                   const char **content_type)
{
  const char *platform = "none";
  if (daemon->follower != NULL)
    platform = cs_follower_is_connected (daemon->follower) ? "connected"
                                                           : "unreachable";
  json_t *root = json_pack (
      "{s:s, s:s, s:s, s:I, s:b, s:s, s:b, s:i, s:o, s:o}", "host",
      daemon->settings.name, "data_centre", daemon->settings.data_centre,
      "version", CS_VERSION, "revision",
      (json_int_t)cs_configuration_revision (daemon->configuration), "leaving",
      atomic_load (&daemon->leaving), "platform", platform, "orders_lease",
      daemon->orders != NULL && cs_orders_holds_lease (daemon->orders),
      "requests", atomic_load (&daemon->requests), "hosts",
      hosts_to_json (daemon), "pools",
      cs_placement_status (daemon->placement));
  return cs_operator_write_json (root, body);
}
