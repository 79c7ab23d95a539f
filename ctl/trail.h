/* Prints records of the audit trail.  */

#ifndef CS_CTL_TRAIL_H
#define CS_CTL_TRAIL_H

#include "api/release_store.h"

/* One line: revision, time, operator, operation and what changed.  */
void cs_trail_print (const cs_release_record_t *record);

/* Prints what RECORD added, changed and withdrew, an entry a line.  */
void cs_trail_print_entries (const cs_release_record_t *record);

#endif
