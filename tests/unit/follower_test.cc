// What a router reads from the platform's store, where it can't be applied.

#include <string>

#include <gtest/gtest.h>

#include "tests/router/stand_ins.h"

extern "C"
{
#include "common/error.h"
#include "net/loop.h"
#include "router/follower.h"
}

namespace
{

// What the handlers have applied, and how many more of their calls fail.
struct Reader
{
  Store store;
  std::string applied;
  int failing_objects = 1;
  int failing_ends = 1;
};

Reader *reader;

int
on_object (cs_router_t *router, const cs_store_object_t *object, cs_time_us_t,
           cs_time_us_t)
{
  if (reader->failing_objects-- > 0)
    return CS_ERR_NO_MEMORY;
  reader->applied += (object->is_change ? "+" : "")
                     + std::string (object->name.data, object->name.len);
  if (object->is_change)
    cs_loop_stop (router->loop);
  return CS_OK;
}

// When the list has been applied, another object is written, and can't be
// applied at first.
int
on_list_end (cs_router_t *router, cs_revision_t, cs_time_us_t, cs_time_us_t)
{
  EXPECT_EQ (router->evacuations_sync.own_confirmed_at, 0U);
  if (reader->failing_ends-- > 0)
    return CS_ERR_NO_MEMORY;
  reader->applied += "|";
  reader->failing_objects = 1;
  reader->store.put ("evacuations", "b", "{}");
  return CS_OK;
}

void
stop (void *context, cs_time_us_t)
{
  cs_loop_stop (static_cast<cs_loop_t *> (context));
}

// The revision moved on although memory was exhausted, so that an evacuation
// was lost.
TEST (Follower, WhatCouldNotBeAppliedIsReadAgain)
{
  Reader all;
  reader = &all;
  cs_router_t router = {};
  cs_timer_t end;
  cs_follower_handlers_t handlers = {};
  handlers.on_list_begin = [] (cs_router_t *) { reader->applied.clear (); };
  handlers.on_list_end = on_list_end;
  handlers.on_object = on_object;
  all.store.put ("evacuations", "a", "{}");
  router.loop = cs_loop_create ();
  router.settings.evacuation_ms = 5000;
  router.settings.call_timeout_ms = 800;
  snprintf (router.settings.platform, sizeof router.settings.platform, "%s",
            all.store.address ().c_str ());
  cs_follower_t *follower = cs_follower_create (
      &router, CS_STORE_EVACUATIONS, &router.evacuations_sync, &handlers);
  cs_timer_init (&end, router.loop, stop, router.loop);
  cs_timer_set (&end, 10 * CS_US_PER_S);
  cs_loop_run (router.loop);
  EXPECT_EQ (all.applied, "a|+b");
  EXPECT_EQ (router.evacuations_sync.revision.number, all.store.revision ());
  cs_follower_destroy (follower);
  cs_timer_clear (&end);
  cs_loop_destroy (router.loop);
}

}
