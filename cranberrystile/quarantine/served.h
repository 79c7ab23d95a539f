/* When this router last answered requests with each part, private to this
   folder.  */

#ifndef CS_QUARANTINE_SERVED_H
#define CS_QUARANTINE_SERVED_H

#include "cranberrystile/quarantine.h"

/* Parts that share a row displace the one that was answered longest ago.  */
#define CS_SERVED_ROWS 4096
#define CS_SERVED_COLUMNS 4

/* Initialise with zeros.  */
typedef struct
{
  cs_part_time_t rows[CS_SERVED_ROWS][CS_SERVED_COLUMNS];
} cs_served_t;

/* Returns 0 if not known.  */
cs_time_us_t cs_served_at (const cs_served_t *served, uint64_t part);
void cs_served_record (cs_served_t *served, uint64_t part, cs_time_us_t now);

#endif
