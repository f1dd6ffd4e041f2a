/* codec.h -- encoding of XDR records in memory */
#ifndef GL_CODEC_H
#define GL_CODEC_H

#include <stddef.h>
#include <rpc/rpc.h>

/** codec_encode - encode @obj; returns a malloc'd buffer of *@len bytes, or
    NULL when out of memory or when @obj exceeds a bound of its type */
char *codec_encode (xdrproc_t proc, const void *obj, size_t *len);
/** codec_append - encode @obj behind the *@len bytes of the malloc'd buffer
    *@data, which may move; -1, with both unchanged, when out of memory or when
    @obj exceeds a bound of its type */
int codec_append (xdrproc_t proc, const void *obj, char **data, size_t *len);
/** codec_decode - decode @data into @obj, which must be zeroed; 0, or -1 when
    it is malformed, and then nothing inside @obj stays allocated */
int codec_decode (xdrproc_t proc, void *obj, const char *data, size_t len);
/** codec_free - free what codec_decode allocated inside @obj */
void codec_free (xdrproc_t proc, void *obj);

#endif
