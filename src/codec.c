/*
 * codec.c -- encoding of XDR records in memory
 *
 * XDR is already linked for the RPCs.  Its types are defined in proto/, and
 * the decoder checks every length against its bound, so the same library
 * encodes the records in the key-value service and the calls to workers.
 */
#include "codec.h"

#include <stdlib.h>
#include <string.h>

char *
codec_encode (xdrproc_t proc, const void *obj, size_t *len)
{
  XDR x;
  size_t size = xdr_sizeof (proc, (void *)obj);
  char *data = malloc (size ? size : 1);
  int ok;

  if (!data)
    return NULL;
  xdrmem_create (&x, data, (u_int)size, XDR_ENCODE);
  ok = proc (&x, (void *)obj);
  xdr_destroy (&x);
  if (!ok)
    {
      free (data);
      return NULL;
    }
  *len = size;
  return data;
}

int
codec_append (xdrproc_t proc, const void *obj, char **data, size_t *len)
{
  size_t more = 0;
  char *tail = codec_encode (proc, obj, &more);
  char *whole = tail ? realloc (*data, *len + more) : NULL;

  if (whole)
    {
      memcpy (whole + *len, tail, more);
      *data = whole;
      *len += more;
    }
  free (tail);
  return whole ? 0 : -1;
}

int
codec_decode (xdrproc_t proc, void *obj, const char *data, size_t len)
{
  XDR x;
  int ok;

  xdrmem_create (&x, (char *)data, (u_int)len, XDR_DECODE);
  ok = proc (&x, obj);
  xdr_destroy (&x);
  if (ok)
    return 0;
  codec_free (proc, obj);
  return -1;
}

void
codec_free (xdrproc_t proc, void *obj)
{
  xdr_free (proc, obj);
}
