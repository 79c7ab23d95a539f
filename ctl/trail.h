/* Prints records of the audit trail.  */

#ifndef CS_CTL_TRAIL_H
#define CS_CTL_TRAIL_H

#include "api/release_store.h"

/* Prints one line: revision, time, operator, operation and the numbers of
   entries added, changed and withdrawn.  */
void cs_trail_print_summary (const cs_release_record_t *record);

/* Prints the entries that RECORD added, changed and withdrew, one per line. */
void cs_trail_print_changes (const cs_release_record_t *record);

#endif
