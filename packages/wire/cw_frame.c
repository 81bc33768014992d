/* Encoding and decoding of frames. */
#include "cw_frame.h"

#include <string.h>

void
cw_frame_reader_init(struct cw_frame_reader *r)
{
    memset(r, 0, sizeof(*r));
    cw_buf_init(&r->buf);
}

void
cw_frame_reader_finish(struct cw_frame_reader *r)
{
    cw_buf_finish(&r->buf);
}

void
cw_frame_reader_add(struct cw_frame_reader *r, const void *ptr, size_t len)
{
    if (r->failed) {
        return;
    }
    if (r->pos > 0) {
        size_t unread = r->buf.len - r->pos;

        if (unread > 0) {
            memmove(r->buf.ptr, r->buf.ptr + r->pos, unread);
        }
        r->buf.len = unread;
        r->pos = 0;
    }
    cw_buf_add(&r->buf, ptr, len);
}

static enum cw_status
reader_fail(struct cw_frame_reader *r, enum cw_status s)
{
    r->failed = true;
    return s;
}

enum cw_status
cw_frame_next(struct cw_frame_reader *r, Cuminwalk__Envelope **env)
{
    const uint8_t *p;
    size_t available;
    size_t len;

    *env = NULL;
    if (r->failed) {
        return CW_ERR_INVALID;
    }
    if (r->buf.failed) {
        return reader_fail(r, cw_fail(r->msg, CW_ERR_NOMEM, "out of memory"));
    }
    available = r->buf.len - r->pos;
    if (available < CW_FRAME_HEADER_BYTES) {
        return CW_ERR_NOT_FOUND;
    }
    p = (const uint8_t *)r->buf.ptr + r->pos;
    len = (size_t)p[0] << 24 | (size_t)p[1] << 16 | (size_t)p[2] << 8 | p[3];
    if (len == 0 || len > CW_FRAME_MAX_BYTES) {
        return reader_fail(r, cw_fail(r->msg, CW_ERR_LIMIT,
                                      "frame length %zu is not in 1..%zu", len,
                                      CW_FRAME_MAX_BYTES));
    }
    if (available < CW_FRAME_HEADER_BYTES + len) {
        return CW_ERR_NOT_FOUND;
    }
    *env = cuminwalk__envelope__unpack(NULL, len, p + CW_FRAME_HEADER_BYTES);
    if (*env == NULL) {
        return reader_fail(r, cw_fail(r->msg, CW_ERR_INVALID,
                                      "frame of %zu bytes is not an envelope",
                                      len));
    }
    if ((*env)->version != CW_WIRE_VERSION ||
        (*env)->msg_case == CUMINWALK__ENVELOPE__MSG__NOT_SET) {
        unsigned version = (*env)->version;

        cw_frame_free(*env);
        *env = NULL;
        return reader_fail(
            r, cw_fail(r->msg, CW_ERR_INVALID,
                       "version %u or message type is not known", version));
    }
    r->pos += CW_FRAME_HEADER_BYTES + len;
    return CW_OK;
}

void
cw_frame_free(Cuminwalk__Envelope *env)
{
    if (env != NULL) {
        cuminwalk__envelope__free_unpacked(env, NULL);
    }
}

enum cw_status
cw_frame_write(Cuminwalk__Envelope *env, struct cw_buf *out)
{
    static const char zero_header[CW_FRAME_HEADER_BYTES];
    size_t start = out->len;
    size_t len;
    uint8_t *p;

    env->version = CW_WIRE_VERSION;
    len = cuminwalk__envelope__get_packed_size(env);
    if (len > CW_FRAME_MAX_BYTES) {
        return CW_ERR_LIMIT;
    }
    cw_buf_add(out, zero_header, sizeof(zero_header));
    if (!out->failed) {
        /* Grows out by len bytes, which packing overwrites. */
        char zeros[512] = {0};

        for (size_t n = 0; n < len; n += sizeof(zeros)) {
            size_t chunk = len - n < sizeof(zeros) ? len - n : sizeof(zeros);

            cw_buf_add(out, zeros, chunk);
        }
    }
    if (out->failed) {
        return CW_ERR_NOMEM;
    }
    p = (uint8_t *)out->ptr + start;
    p[0] = (uint8_t)(len >> 24);
    p[1] = (uint8_t)(len >> 16);
    p[2] = (uint8_t)(len >> 8);
    p[3] = (uint8_t)len;
    cuminwalk__envelope__pack(env, p + CW_FRAME_HEADER_BYTES);
    return CW_OK;
}
