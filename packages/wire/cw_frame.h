/* Frames between daemons: a 4-byte big-endian length and a protobuf Envelope
 * of that many bytes. */
#ifndef CW_FRAME_H
#define CW_FRAME_H

#include "cuminwalk.h"
#include "cw_wire.pb-c.h"

#define CW_WIRE_VERSION 1
#define CW_FRAME_HEADER_BYTES 4
/* A request body of 1 MiB, and 64 KiB for its headers and other fields. */
#define CW_FRAME_MAX_BYTES ((size_t)(1024 + 64) * 1024)

/* Splits a byte stream into frames. A failure is permanent, because the start
 * of the next frame is then unknown. */
struct cw_frame_reader {
    struct cw_buf buf;
    size_t pos; /* bytes of buf already consumed */
    bool failed;
    char msg[CW_MSG_MAX];
};

void cw_frame_reader_init(struct cw_frame_reader *r);
void cw_frame_reader_finish(struct cw_frame_reader *r);
/* Adds received bytes. */
void cw_frame_reader_add(struct cw_frame_reader *r, const void *ptr,
                         size_t len);
/* Decodes the next frame. CW_OK with *env, which the caller releases with
 * cw_frame_free; CW_ERR_NOT_FOUND when more bytes are needed;
 * CW_ERR_LIMIT, CW_ERR_INVALID or CW_ERR_NOMEM when the stream failed. */
enum cw_status cw_frame_next(struct cw_frame_reader *r,
                             Cuminwalk__Envelope **env);
void cw_frame_free(Cuminwalk__Envelope *env);

/* Sets env's version and appends env to out as one frame. CW_ERR_LIMIT, with
 * out unchanged, when it exceeds CW_FRAME_MAX_BYTES; CW_ERR_NOMEM. */
enum cw_status cw_frame_write(Cuminwalk__Envelope *env, struct cw_buf *out);

#endif
