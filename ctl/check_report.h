/* Output of check --routing.  */

#ifndef CS_CTL_CHECK_REPORT_H
#define CS_CTL_CHECK_REPORT_H

#include "cranberrystile/findings.h"

/* Print FINDINGS to standard output, as text or as a JSON object.  Return 0 or
   CS_ERR_NO_MEMORY.  */
int cs_check_print_text (const cs_findings_t *findings);
int cs_check_print_json (const cs_findings_t *findings);

#endif
