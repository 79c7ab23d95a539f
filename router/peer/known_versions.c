/* Tells peers which versions of the targets there are, and which of them are
   the bases.  One that starts while the store is away learns it from nobody
   else.  */

#include "router/peer/internal.h"
#include "router/stream_versions.h"

static uint32_t
age_ms (cs_time_us_t at, cs_time_us_t now)
{
  return at < now ? (uint32_t)((now - at) / CS_US_PER_MS) : 0;
}

static void
fill_version (Cs__Router__Version *out, const cs_version_seen_t *seen,
              cs_time_us_t now)
{
  cs__router__version__init (out);
  out->service = seen->service;
  out->version = seen->version;
  out->gone_ms = age_ms (seen->seen_at, now);
  out->is_base = seen->is_base;
  out->had_few = seen->few_at != 0 && now < seen->few_at + CS_STREAM_LIFE_US;
  out->few_ms = out->had_few ? age_ms (seen->few_at, now) : 0;
}

void
cs_known_versions_send (cs_link_t *link, cs_time_us_t now)
{
  cs_version_seen_t seen[CS_VERSION_HISTORY_MAX];
  Cs__Router__Version entries[CS_VERSION_HISTORY_MAX];
  Cs__Router__Version *list[CS_VERSION_HISTORY_MAX];
  Cs__Router__Versions message = CS__ROUTER__VERSIONS__INIT;
  cs_router_frame_t frame = CS__ROUTER__FRAME__INIT;
  uint64_t state;
  if (!link->hello_received || !link->reads_versions)
    return;
  size_t count = cs_stream_versions_to_tell (
      link->mesh->router->stream_versions, seen, &state);
  if (state == link->versions_sent)
    return;
  link->versions_sent = state;
  if (state == 0)
    return;
  for (size_t i = 0; i < count; i++)
    {
      fill_version (&entries[i], &seen[i], now);
      list[i] = &entries[i];
    }
  message.versions = list;
  message.n_versions = count;
  frame.body_case = CS__ROUTER__FRAME__BODY_VERSIONS;
  frame.versions = &message;
  cs_link_send (link, &frame);
}

/* When it was AGE_MS ago; at least 1, as 0 stands for never.  */
static cs_time_us_t
time_before (cs_time_us_t now, uint32_t age_ms)
{
  cs_time_us_t age = age_ms * CS_US_PER_MS;
  return age < now ? now - age : 1;
}

void
cs_known_versions_read (cs_link_t *link, const Cs__Router__Versions *message,
                        cs_time_us_t now)
{
  cs_version_seen_t told[CS_VERSION_HISTORY_MAX];
  for (size_t i = 0; i < message->n_versions; i++)
    {
      const Cs__Router__Version *version = message->versions[i];
      told[i] = (cs_version_seen_t){
        .service = version->service,
        .version = version->version,
        .seen_at = time_before (now, version->gone_ms),
        .is_base = version->is_base,
        .few_at = version->had_few ? time_before (now, version->few_ms) : 0,
      };
    }
  cs_stream_versions_told (link->mesh->router->stream_versions, told,
                           message->n_versions, now);
}
