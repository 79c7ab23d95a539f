#include "router/services.h"

#include <stdlib.h>

cs_service_state_t *
cs_service_table_get (cs_service_table_t *table, cs_str_t name)
{
  for (size_t i = 0; i < table->count; i++)
    if (cs_str_equal (cs_name_str (&table->states[i]->name), name))
      return table->states[i];
  cs_service_state_t **states = realloc (
      table->states, (table->count + 1) * sizeof (cs_service_state_t *));
  if (states == NULL)
    return NULL;
  table->states = states;
  cs_service_state_t *state = calloc (1, sizeof *state);
  if (state == NULL)
    return NULL;
  cs_name_set (&state->name, name);
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
