/* The versions of the targets that began streams, by stream.  */

#ifndef CS_STREAM_TABLE_H
#define CS_STREAM_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/clock.h"

/* Streams that a table keeps; more are not recorded.  */
#define CS_STREAM_TABLE_MAX 32768

/* The version of a stream that is recorded with two different ones.  */
#define CS_STREAM_VERSION_AMBIGUOUS 0

typedef struct
{
  uint64_t stream;    /* hash of the id of the request that began it */
  uint64_t version;   /* see cs_target_t, or CS_STREAM_VERSION_AMBIGUOUS */
  cs_time_us_t until; /* no caller takes it up after this */
  uint64_t number;    /* of the change; 0: not numbered */
  bool is_carried; /* another router began it, and relies on this one to save
                      it */
} cs_stream_record_t;

typedef struct cs_stream_table cs_stream_table_t;

/* Returns NULL if memory is exhausted.  */
cs_stream_table_t *cs_stream_table_create (void);
void cs_stream_table_destroy (cs_stream_table_t *table);

/* Adds RECORD, or replaces that of its stream.  Returns 0,
   CS_ERR_OVERLOADED if the table is full, or CS_ERR_NO_MEMORY.  */
int cs_stream_table_put (cs_stream_table_t *table,
                         const cs_stream_record_t *record, cs_time_us_t now);

/* Like cs_stream_table_put, but a stream that is recorded with another version
   becomes ambiguous.  */
int cs_stream_table_merge (cs_stream_table_t *table,
                           const cs_stream_record_t *record, cs_time_us_t now);

/* Returns the record of STREAM, or NULL; borrowed until the next change.  */
const cs_stream_record_t *cs_stream_table_find (const cs_stream_table_t *table,
                                                uint64_t stream,
                                                cs_time_us_t now);

void cs_stream_table_remove (cs_stream_table_t *table, uint64_t stream);
void cs_stream_table_clear (cs_stream_table_t *table);

/* Removes the streams that are over.  */
void cs_stream_table_expire (cs_stream_table_t *table, cs_time_us_t now);

size_t cs_stream_table_count (const cs_stream_table_t *table);

typedef void cs_stream_table_fn (void *context,
                                 const cs_stream_record_t *record);

/* Calls FN with each record, in the order in which they were added.  FN must
   not change the table.  */
void cs_stream_table_each (const cs_stream_table_t *table,
                           cs_stream_table_fn *fn, void *context);

#endif
