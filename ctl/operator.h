/* A client of the operator port of a router.  */

#ifndef CS_CTL_OPERATOR_H
#define CS_CTL_OPERATOR_H

#include "ctl/options.h"

/* Sends a request without a body for PATH to --host and prints the response
   body.  Returns the exit status.  */
int cs_operator_call (const cs_options_t *options, const char *method,
                      const char *path);

#endif
