#include "quarantine/served.h"

cs_time_us_t
cs_served_at (const cs_served_t *served, uint64_t part)
{
  const cs_part_time_t *row = served->rows[part % CS_SERVED_ROWS];
  for (size_t i = 0; i < CS_SERVED_COLUMNS; i++)
    if (row[i].part == part)
      return row[i].at;
  return 0;
}

void
cs_served_record (cs_served_t *served, uint64_t part, cs_time_us_t now)
{
  cs_part_time_t *row = served->rows[part % CS_SERVED_ROWS];
  cs_part_time_t *oldest = &row[0];
  for (size_t i = 0; i < CS_SERVED_COLUMNS; i++)
    {
      if (row[i].part == part)
        {
          row[i].at = now;
          return;
        }
      if (row[i].at < oldest->at)
        oldest = &row[i];
    }
  *oldest = (cs_part_time_t){ part, now };
}
