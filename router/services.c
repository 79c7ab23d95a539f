#include "router/services.h"

#include <stdlib.h>

cs_service_state_t *
cs_service_table_get (cs_service_table_t *table, cs_str_t name)
{
  /* Services whose names differ only beyond CS_NAME_MAX have no targets and
     share a state.  */
  cs_name_t key;
  cs_name_set (&key, name);
  for (size_t i = 0; i < table->count; i++)
    if (cs_name_equal (&table->states[i]->name, &key))
      return table->states[i];
  cs_service_state_t **states = realloc (
      table->states, (table->count + 1) * sizeof (cs_service_state_t *));
  if (states == NULL)
    return NULL;
  table->states = states;
  cs_service_state_t *state = calloc (1, sizeof *state);
  if (state == NULL)
    return NULL;
  state->name = key;
  cs_retry_window_init (&state->retry_window, table->retry_ratio,
                        table->retry_window_us);
  table->states[table->count++] = state;
  return state;
}

void
cs_service_table_free (cs_service_table_t *table)
{
  for (size_t i = 0; i < table->count; i++)
    free (table->states[i]);
  free (table->states);
}
