#include "cranberrystile/target_view.h"

#include "common/hash.h"

static bool
has_departed (const cs_target_view_t *view, uint64_t hash)
{
  for (int i = 0; i < CS_TARGET_MAX_DEPARTED; i++)
    if (view->departed[i] == hash)
      return true;
  return false;
}

static void
record_departed (cs_target_view_t *view, uint64_t hash)
{
  if (has_departed (view, hash))
    return;
  view->departed[view->departed_next % CS_TARGET_MAX_DEPARTED] = hash;
  view->departed_next++;
}

static cs_view_change_t
update_same_instance (cs_target_view_t *view, bool leaving)
{
  if (!leaving || view->leaving)
    return CS_VIEW_UNCHANGED;
  view->leaving = true;
  if (view->instance.len > 0)
    record_departed (view, cs_hash (cs_name_str (&view->instance), 0));
  return CS_VIEW_LEAVING;
}

cs_view_change_t
cs_target_view_update (cs_target_view_t *view, cs_str_t instance, bool leaving)
{
  cs_name_t name;
  cs_name_set (&name, instance);
  if (name.len == 0 || cs_name_equal (&name, &view->instance))
    return update_same_instance (view, leaving);
  uint64_t hash = cs_hash (cs_name_str (&name), 0);
  if (has_departed (view, hash))
    return CS_VIEW_UNCHANGED;
  if (leaving)
    {
      /* Not the present instance: only record that it departed.  */
      record_departed (view, hash);
      if (view->instance.len > 0)
        return CS_VIEW_UNCHANGED;
      view->instance = name;
      view->leaving = true;
      return CS_VIEW_LEAVING;
    }
  bool is_first_report = view->instance.len == 0 && !view->leaving;
  if (view->instance.len > 0)
    record_departed (view, cs_hash (cs_name_str (&view->instance), 0));
  view->instance = name;
  view->leaving = false;
  return is_first_report ? CS_VIEW_UNCHANGED : CS_VIEW_STARTED;
}
