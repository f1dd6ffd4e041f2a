/* inifile.h -- settings files: tables of fields, checked as they are read */
#ifndef GL_INIFILE_H
#define GL_INIFILE_H

#include <stddef.h>

#include "gentianlatch.h"

#define SETTINGS_ERROR_LEN 200

/**
 * enum field_kind_t - what a setting's text must be
 * @KIND_NAME: lower-case letters, digits and hyphens
 * @KIND_ADDR: "IP:port"
 * @KIND_URL: "http://IP:port"
 * @KIND_INT: a whole number within its range
 * @KIND_REAL: a number, kept as a double
 * @KIND_FLAG: true or false, kept as an int
 */
typedef enum
{
  KIND_NAME,
  KIND_ADDR,
  KIND_URL,
  KIND_INT,
  KIND_REAL,
  KIND_FLAG
} field_kind_t;

/** struct field_t - one setting and its place in the structure */
typedef struct
{
  const char *section;
  const char *key;
  field_kind_t kind;
  size_t offset;
  size_t size;
  int low;
  int high;
  int preset;
} field_t;

/**
 * struct inifile_t - how a file is read
 * @other: takes a setting that no field has; 1 when it is accepted
 */
typedef struct
{
  const field_t *fields;
  size_t nfields;
  void *into;
  int (*other) (void *into, const char *section, const char *key,
                const char *value, char *err);
  char *err;
} inifile_t;

/** inifile_load - read @path into the fields, presets first; GL_INVALID with
    a reason in err, which has SETTINGS_ERROR_LEN bytes */
gl_code_t inifile_load (inifile_t *f, const char *path);

#endif
