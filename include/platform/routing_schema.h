/* The fields of a configuration in the platform's store.  */

#ifndef CS_PLATFORM_ROUTING_SCHEMA_H
#define CS_PLATFORM_ROUTING_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>

#include "common/str.h"

typedef enum
{
  CS_TYPE_ANY,
  CS_TYPE_TEXT,
  CS_TYPE_TEXTS, /* list of strings */
  CS_TYPE_FLAG,
  CS_TYPE_INTEGER,
  CS_TYPE_NUMBER,
  CS_TYPE_U32, /* number that the decoder reads as a uint32_t */
  CS_TYPE_OBJECT,
  CS_TYPE_OBJECTS /* list of objects */
} cs_field_type_t;

typedef struct cs_schema cs_schema_t;

typedef struct
{
  const char *name;
  cs_field_type_t type;
  const cs_schema_t *members; /* of an object, or of each in the list */
  bool is_unread;             /* the decoder doesn't use it */
} cs_schema_field_t;

struct cs_schema
{
  const cs_schema_field_t *fields;
  size_t count;
};

/* The schema of the whole configuration.  */
extern const cs_schema_t cs_routing_schema;

/* Returns the field NAME of SCHEMA, or NULL.  */
const cs_schema_field_t *cs_schema_find (const cs_schema_t *schema,
                                         const char *name);

#endif
