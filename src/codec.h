/* codec.h -- XDR records to and from memory */
#ifndef GL_CODEC_H
#define GL_CODEC_H

#include <stddef.h>
#include <rpc/rpc.h>

/** codec_encode - malloc'd encoding of @obj, NULL on failure */
char *codec_encode (xdrproc_t proc, const void *obj, size_t *len);
/** codec_decode - fill zeroed @obj; -1 and nothing allocated on failure */
int codec_decode (xdrproc_t proc, void *obj, const char *data, size_t len);
/** codec_free - release what codec_decode allocated inside @obj */
void codec_free (xdrproc_t proc, void *obj);

#endif
