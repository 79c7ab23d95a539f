/* Objects of kind CS_STORE_STREAMS: one per start of a router with the streams
   that it has begun and that are not over, and a single one with the software
   versions that targets have, or had lately.  */

#ifndef CS_PLATFORM_STREAMS_H
#define CS_PLATFORM_STREAMS_H

#include "cranberrystile/stream_table.h"
#include "platform/store.h"

typedef struct
{
  uint64_t service; /* hash of its name */
  uint64_t version; /* hash of the service and the version */
  uint64_t seen_ms; /* wall clock: when the last of its targets was gone; 0:
                       in service */
  bool is_base;     /* see cs_version_seen_t */
} cs_store_version_t;

/* Appends the path of the object with the versions provided that it is at
   REVISION, or, if that is 0, the path at which it is created.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_store_versions_path (uint64_t revision, cs_buf_t *out);

bool cs_store_is_versions (const cs_store_object_t *object);

/* Stores the first MAX versions of OBJECT in OUT.  Returns their number;
   entries that can't be read are left out.  */
size_t cs_store_read_versions (const cs_store_object_t *object,
                               cs_store_version_t *out, size_t max);

/* Appends the object with COUNT versions to OUT.  Returns 0 or
   CS_ERR_NO_MEMORY.  */
int cs_store_write_versions (const cs_store_version_t *versions, size_t count,
                             cs_buf_t *out);

typedef void cs_store_stream_fn (void *context, uint64_t stream,
                                 uint64_t version);

/* Calls FN with each stream of a router's object; those that can't be read are
   left out.  Returns until when (wall clock, in milliseconds) callers may take
   them up, or 0 if OBJECT isn't a router's.  Stores in *IS_PARTIAL whether the
   router had more streams than the object has.  */
uint64_t cs_store_read_streams (const cs_store_object_t *object,
                                cs_store_stream_fn *fn, void *context,
                                bool *is_partial);

/* Appends the object NAME with the records of TABLE to OUT.  IS_PARTIAL: there
   were more streams than TABLE has.  Returns 0 or CS_ERR_NO_MEMORY.  */
int cs_store_write_streams (cs_str_t name, const cs_stream_table_t *table,
                            uint64_t until_ms, bool is_partial, cs_buf_t *out);

#endif
