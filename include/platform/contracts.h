/* The parts of the platform's terms that are in force for a deployment, which
   its settings list.  */

#ifndef CS_PLATFORM_CONTRACTS_H
#define CS_PLATFORM_CONTRACTS_H

#include <stdbool.h>

/* Whether LIST, names separated by commas, says that callers contend for the
   capacity of plain services.  */
bool cs_contracts_have_contention (const char *list);

#endif
