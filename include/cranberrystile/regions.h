/* Regions to which requests may be restricted.  Each data centre is in at most
   one.  */

#ifndef CS_REGIONS_H
#define CS_REGIONS_H

#include <stdbool.h>

#include "common/settings_table.h"
#include "common/str.h"

/* The regions in which requests may be served.  Zeros: anywhere.  An empty
   list that is stated allows none.  */
typedef struct
{
  bool is_stated;
  cs_str_t *names;
  size_t count;
} cs_region_list_t;

/* Whether a target in DATA_CENTRE may serve requests that are restricted to
   LIST; NULL: they aren't.  MAP has data centres as keys and regions as
   values; a data centre that it lacks is in no region.  */
bool cs_region_list_allows (const cs_region_list_t *list,
                            const cs_setting_pairs_t *map,
                            const cs_name_t *data_centre);

#endif
