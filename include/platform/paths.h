/* HTTP paths that a router serves to the platform and operators.  */

#ifndef CS_PLATFORM_PATHS_H
#define CS_PLATFORM_PATHS_H

#define CS_PATH_READY "/-/ready"
#define CS_PATH_METRICS "/metrics"

#endif
