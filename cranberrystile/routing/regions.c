#include "cranberrystile/regions.h"

/* Returns the region of DATA_CENTRE, or NULL if it isn't known.  */
static const cs_name_t *
find_region (const cs_setting_pairs_t *map, const cs_name_t *data_centre)
{
  for (size_t i = 0; map != NULL && i < map->count; i++)
    if (cs_name_equal (&map->pairs[i].key, data_centre))
      return &map->pairs[i].value;
  return NULL;
}

bool
cs_region_list_allows (const cs_region_list_t *list,
                       const cs_setting_pairs_t *map,
                       const cs_name_t *data_centre)
{
  if (list == NULL || !list->is_stated)
    return true;
  const cs_name_t *region = find_region (map, data_centre);
  for (size_t i = 0; region != NULL && i < list->count; i++)
    if (cs_str_equal (list->names[i], cs_name_str (region)))
      return true;
  return false;
}
