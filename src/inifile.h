/* inifile.h -- table-driven reading and checking of INI files */
#ifndef GL_INIFILE_H
#define GL_INIFILE_H

#include <stddef.h>

#include "gentianlatch.h"

/* Size in bytes of the buffer for an error text. */
#define SETTINGS_ERROR_LEN 200

/**
 * enum field_kind_t - type and syntax of a setting
 * @KIND_NAME: lower-case letters, digits and hyphens; char array
 * @KIND_ADDR: "IP:port"; char array
 * @KIND_URL: "http://IP:port"; char array
 * @KIND_INT: decimal integer within its range; int
 * @KIND_REAL: number within its range; double
 * @KIND_FLAG: "true" or "false"; int, 1 or 0
 * @KIND_SWITCH: "on" or "off"; int, 1 or 0
 */
typedef enum
{
  KIND_NAME,
  KIND_ADDR,
  KIND_URL,
  KIND_INT,
  KIND_REAL,
  KIND_FLAG,
  KIND_SWITCH
} field_kind_t;

/**
 * struct field_t - one setting and the structure member that it sets
 * @section, @key: its place in the file
 * @kind: type of the member
 * @offset, @size: place of the member in the structure, in bytes
 * @low, @high: range of a number, both included
 * @default_value: default value of a number or flag
 */
typedef struct
{
  const char *section;
  const char *key;
  field_kind_t kind;
  size_t offset;
  size_t size;
  int low;
  int high;
  int default_value;
} field_t;

/**
 * struct inifile_t - how to read a file
 * @fields, @nfields: the settings
 * @target: structure that receives them
 * @on_other: called for a setting that is not in @fields, or NULL when all
 * such are errors; returns 1 if it accepts the setting, or 0 with a reason in
 * @err, which stays empty for "unknown setting"
 * @err: buffer of SETTINGS_ERROR_LEN bytes for the first error
 */
typedef struct
{
  const field_t *fields;
  size_t nfields;
  void *target;
  int (*on_other) (void *target, const char *section, const char *key,
                   const char *value, char *err);
  char *err;
} inifile_t;

/** inifile_load - set the defaults of numbers and flags, then read the file at
    @path; GL_OK, or GL_INVALID with a reason in @f->err */
gl_code_t inifile_load (inifile_t *f, const char *path);

#endif
