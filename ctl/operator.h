/* Calls of a daemon's operator port.  */

#ifndef CS_CTL_OPERATOR_H
#define CS_CTL_OPERATOR_H

#include "ctl/options.h"

/* Calls PATH on --host and prints the answer.  Returns the exit status.  */
int cs_operator_call (const cs_options_t *options, const char *method,
                      const char *path);

#endif
