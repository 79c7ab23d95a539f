/* Settings files in INI form, read by a table of the settings that a program
   knows.  */

#ifndef CS_COMMON_SETTINGS_TABLE_H
#define CS_COMMON_SETTINGS_TABLE_H

#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Room for a text setting, its terminating zero included.  */
#define CS_SETTING_TEXT_MAX 512

typedef enum
{
  CS_SETTING_NAME,
  CS_SETTING_TEXT,
  CS_SETTING_ADDRESS, /* IP number and port; port 0 lets the kernel choose */
  CS_SETTING_ADDRESS_OR_NONE,
  CS_SETTING_ADDRESSES,
  CS_SETTING_NUMBER,
  CS_SETTING_FRACTION /* a double, with a decimal point where it has one */
} cs_setting_kind_t;

typedef struct
{
  const char *section;
  const char *key;
  cs_setting_kind_t kind;
  size_t offset; /* of the field in the program's settings: char[] of
                    CS_SETTING_TEXT_MAX (CS_NAME_MAX + 1 for a name), uint32_t
                    for a number, double for a fraction */
  uint32_t least;
  uint32_t most;
  const char *fallback; /* NULL: the key is required */
} cs_setting_t;

typedef struct
{
  const cs_setting_t *settings;
  size_t count;
} cs_settings_table_t;

/* Reads TEXT, named FILE in messages, into the record at OUT, whose SIZE bytes
   are zeroed first.  Returns 0, or CS_ERR_BAD_SETTING with a reason that names
   file, line and key; unknown keys and keys that stand twice are errors.  */
int cs_settings_table_parse (const cs_settings_table_t *table,
                             const char *file, const char *text, void *out,
                             size_t size, cs_buf_t *reason);

/* The same with the text of the file at path FILE.  */
int cs_settings_table_read (const cs_settings_table_t *table, const char *file,
                            void *out, size_t size, cs_buf_t *reason);

#endif
