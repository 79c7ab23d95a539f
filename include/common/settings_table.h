/* Reads settings files in INI format according to a table of the settings that
   a program supports.  */

#ifndef CS_COMMON_SETTINGS_TABLE_H
#define CS_COMMON_SETTINGS_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Size of a text setting, including its terminating zero.  */
#define CS_SETTING_TEXT_MAX 512

typedef enum
{
  CS_SETTING_NAME, /* not empty; no space, slash or double quote */
  CS_SETTING_TEXT,
  CS_SETTING_ADDRESS, /* IPv4:PORT; port 0 lets the kernel choose one */
  CS_SETTING_ADDRESS_OR_NONE, /* the same, or empty */
  CS_SETTING_ADDRESSES,       /* separated by spaces */
  CS_SETTING_NUMBER,
  CS_SETTING_FRACTION /* a decimal number, with or without a point */
} cs_setting_kind_t;

typedef struct
{
  const char *section;
  const char *key;
  cs_setting_kind_t kind;
  size_t offset; /* of the member in the program's settings structure: char[]
                    of CS_SETTING_TEXT_MAX (CS_NAME_MAX + 1 for a name),
                    uint32_t for a number, double for a fraction */
  uint32_t min;  /* of a number or fraction, inclusive */
  uint32_t max;
  const char *default_value; /* NULL: the key is required */
} cs_setting_t;

/* Maximum number of settings in a section whose keys are not in a table; it
   holds the data centres of a large deployment.  */
#define CS_SETTING_MAX_PAIRS 256

/* The settings of such a section; their keys differ.  Those without a value
   are left out.  */
typedef struct
{
  struct
  {
    cs_name_t key;
    cs_name_t value;
  } pairs[CS_SETTING_MAX_PAIRS];
  size_t count;
} cs_setting_pairs_t;

typedef struct
{
  const cs_setting_t *settings;
  size_t count;
  const char *pairs_section; /* a section with any keys; NULL: none */
  size_t pairs_offset;       /* of the cs_setting_pairs_t for it */
  bool skips_unknown;        /* keys that aren't in the table are no errors */
} cs_settings_table_t;

/* Parses TEXT, called FILE in messages, into the structure at OUT, whose SIZE
   bytes are zeroed first.  Returns 0, or CS_ERR_BAD_SETTING with a REASON that
   names file, line and key; duplicate keys are errors, and unknown ones unless
   the table skips them.  */
int cs_settings_table_parse (const cs_settings_table_t *table,
                             const char *file, const char *text, void *out,
                             size_t size, cs_buf_t *reason);

/* Does the same for the contents of the file at path FILE.  */
int cs_settings_table_read (const cs_settings_table_t *table, const char *file,
                            void *out, size_t size, cs_buf_t *reason);

#endif
