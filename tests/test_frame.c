/* The frame codec: the messages must not depend on how the bytes are split
 * into reads, and bytes that are not a frame must fail the stream
 * permanently. */
#include "cw_frame.h"

#include <setjmp.h>
#include <string.h>

#include <cmocka.h>

static void
add_window(struct cw_buf *out, uint64_t stream, uint32_t bytes)
{
    Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
    Cuminwalk__ForwardWindow w = CUMINWALK__FORWARD_WINDOW__INIT;

    w.stream = stream;
    w.bytes = bytes;
    env.msg_case = CUMINWALK__ENVELOPE__MSG_FORWARD_WINDOW;
    env.forward_window = &w;
    assert_int_equal(cw_frame_write(&env, out), CW_OK);
}

/* Frames must not be lost or merged at read boundaries. */
static void
test_split_reads(void **ctx)
{
    struct cw_buf bytes;

    (void)ctx;
    cw_buf_init(&bytes);
    for (uint32_t i = 1; i <= 3; i++) {
        add_window(&bytes, i, i * 1000);
    }
    for (size_t step = 1; step <= bytes.len; step++) {
        struct cw_frame_reader r;
        uint32_t seen = 0;

        cw_frame_reader_init(&r);
        for (size_t pos = 0; pos < bytes.len; pos += step) {
            size_t n = bytes.len - pos < step ? bytes.len - pos : step;
            Cuminwalk__Envelope *env;

            cw_frame_reader_add(&r, bytes.ptr + pos, n);
            while (cw_frame_next(&r, &env) == CW_OK) {
                seen++;
                assert_int_equal(env->forward_window->stream, seen);
                assert_int_equal(env->forward_window->bytes, seen * 1000);
                cw_frame_free(env);
            }
            assert_false(r.failed);
        }
        assert_int_equal(seen, 3);
        cw_frame_reader_finish(&r);
    }
    cw_buf_finish(&bytes);
}

struct bad_frame {
    const char *name;
    const char *bytes;
    size_t len;
    enum cw_status status;
};

/* A peer must not make the daemon hold memory for a length above the limit,
 * and the stream must not be read any further after bytes that are not an
 * envelope. */
static void
test_bad_frames(void **ctx)
{
    static const struct bad_frame cases[] = {
        {"zero length", "\0\0\0\0", 4, CW_ERR_LIMIT},
        {"one above the limit", "\0\x11\0\x01", 4, CW_ERR_LIMIT},
        {"largest length", "\xff\xff\xff\xff", 4, CW_ERR_LIMIT},
        {"not protobuf", "\0\0\0\x03\xff\xff\xff", 7, CW_ERR_INVALID},
        {"truncated field", "\0\0\0\x02\x12\x05", 6, CW_ERR_INVALID},
        {"no message", "\0\0\0\x02\x08\x01", 6, CW_ERR_INVALID},
        {"unknown version", "\0\0\0\x04\x08\x09\x4a\x00", 8, CW_ERR_INVALID},
    };

    (void)ctx;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct cw_frame_reader r;
        struct cw_buf good;
        Cuminwalk__Envelope *env;

        cw_frame_reader_init(&r);
        cw_frame_reader_add(&r, cases[i].bytes, cases[i].len);
        if (cw_frame_next(&r, &env) != cases[i].status) {
            fail_msg("%s: %s", cases[i].name, r.msg);
        }
        cw_buf_init(&good);
        add_window(&good, 1, 1);
        cw_frame_reader_add(&r, good.ptr, good.len);
        assert_int_equal(cw_frame_next(&r, &env), CW_ERR_INVALID);
        assert_null(env);
        cw_buf_finish(&good);
        cw_frame_reader_finish(&r);
    }
}

/* A request with the largest body must fit in a frame, and the writer must
 * reject a frame that every reader would reject. */
static void
test_size_limit(void **ctx)
{
    static const struct {
        size_t body;
        enum cw_status status;
    } cases[] = {
        {1024 * 1024, CW_OK},
        {CW_FRAME_MAX_BYTES, CW_ERR_LIMIT},
    };

    (void)ctx;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        Cuminwalk__Envelope env = CUMINWALK__ENVELOPE__INIT;
        Cuminwalk__ForwardRequest f = CUMINWALK__FORWARD_REQUEST__INIT;
        struct cw_buf out;

        f.body.len = cases[i].body;
        f.body.data = test_calloc(1, cases[i].body);
        env.msg_case = CUMINWALK__ENVELOPE__MSG_FORWARD_REQUEST;
        env.forward_request = &f;
        cw_buf_init(&out);
        assert_int_equal(cw_frame_write(&env, &out), cases[i].status);
        if (cases[i].status == CW_OK) {
            struct cw_frame_reader r;
            Cuminwalk__Envelope *decoded;

            cw_frame_reader_init(&r);
            cw_frame_reader_add(&r, out.ptr, out.len);
            assert_int_equal(cw_frame_next(&r, &decoded), CW_OK);
            assert_int_equal(decoded->forward_request->body.len,
                             cases[i].body);
            cw_frame_free(decoded);
            cw_frame_reader_finish(&r);
        }
        else {
            assert_int_equal(out.len, 0);
        }
        cw_buf_finish(&out);
        test_free(f.body.data);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_split_reads),
        cmocka_unit_test(test_bad_frames),
        cmocka_unit_test(test_size_limit),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
