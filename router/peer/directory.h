/* Router entries in the platform's store.  */

#ifndef CS_ROUTER_PEER_DIRECTORY_H
#define CS_ROUTER_PEER_DIRECTORY_H

#include "router/mesh.h"

typedef struct cs_directory cs_directory_t;

cs_directory_t *cs_directory_create (cs_mesh_t *mesh);
void cs_directory_destroy (cs_directory_t *directory);

/* Whether the first call for the list has ended, with or without a list.  */
bool cs_directory_has_answered (const cs_directory_t *directory);

/* Whether any list has been read.  */
bool cs_directory_has_list (const cs_directory_t *directory);

/* Whether the store had an entry of an earlier start of this router.  */
bool cs_directory_had_entry (const cs_directory_t *directory);

/* Whether a list has been read that is likely to show the other routers.  */
bool cs_directory_is_read (const cs_directory_t *directory);

/* Whether the list has been read often enough that the other routers of a
   starting fleet have had time to register.  */
bool cs_directory_is_complete (const cs_directory_t *directory);

/* Starts removing this router's entry from the store.  */
void cs_directory_withdraw (cs_directory_t *directory);

#endif
