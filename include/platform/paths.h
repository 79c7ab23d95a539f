/* Paths that the platform asks of a router.  */

#ifndef CS_PLATFORM_PATHS_H
#define CS_PLATFORM_PATHS_H

#define CS_PATH_READY "/-/ready"
#define CS_PATH_METRICS "/metrics"

#endif
