/* Seeded mutations of valid messages through every decoder of bytes from
 * outside: none may end the process. Under the sanitizers of CI it also finds
 * reads and writes out of bounds. CW_FUZZ_SEED and CW_FUZZ_ROUNDS choose other
 * messages, and more of them. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "cw_frame.h"
#include "cw_jobd.h"
#include "jobs_util.h"
#include "platform_int.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define ROUNDS 2000
#define MESSAGE_MAX 2048

static struct cw_job_ports ports;
static struct cw_rng rng;
static char msg[CW_MSG_MAX];

static uint64_t
setting(const char *name, uint64_t fallback)
{
    const char *text = getenv(name);
    uint64_t v;

    return text != NULL && cw_str_to_u64(cw_str_from(text), &v) ? v : fallback;
}

/* Changes, removes, repeats or inserts bytes. */
static size_t
mutate(char *bytes, size_t len)
{
    uint64_t changes = 1 + cw_rng_below(&rng, 4);

    for (uint64_t i = 0; i < changes && len > 0; i++) {
        size_t at = cw_rng_below(&rng, len);
        size_t n = 1 + cw_rng_below(&rng, len - at);

        switch (cw_rng_below(&rng, 5)) {
        case 0:
            bytes[at] = (char)cw_rng_below(&rng, 256);
            break;
        case 1:
            bytes[at] = "{}[],:\"-9e0."[cw_rng_below(&rng, 12)];
            break;
        case 2:
            memmove(bytes + at, bytes + at + n, len - at - n);
            len -= n;
            break;
        case 3:
            if (len + n < MESSAGE_MAX) {
                memmove(bytes + at + n, bytes + at, len - at);
                len += n;
            }
            break;
        default:
            memset(bytes + at, '9', n);
            break;
        }
    }
    return len;
}

static void
decode_config(struct cw_str in)
{
    struct cw_fleet_config c;

    if (ports.config_decode(in, &c, msg) == CW_OK) {
        cw_fleet_config_finish(&c);
    }
}

static void
decode_wave(struct cw_str in)
{
    struct cw_wave_order w;

    if (ports.wave_decode(in, &w, msg) == CW_OK) {
        free(w.vms);
    }
}

static void
decode_worker(struct cw_str in)
{
    struct cw_worker_entry e;

    (void)ports.worker_decode(CW_LIT("i-1"), in, &e, msg);
}

static void
decode_submission(struct cw_str in)
{
    struct cw_job_spec s = {0};

    if (ports.caller.decode_submission(in, &s, msg) == CW_OK) {
        (void)cw_job_spec_check(&s, msg);
    }
    cw_job_spec_finish(&s);
}

static void
decode_settings(struct cw_str in)
{
    struct cw_jobd_settings s;
    struct cw_faults faults = {0};

    (void)cw_jobd_settings_parse(&s, in, &faults);
}

static void
decode_frames(struct cw_str in)
{
    struct cw_frame_reader r;
    Cuminwalk__Envelope *env;

    cw_frame_reader_init(&r);
    cw_frame_reader_add(&r, in.ptr, in.len);
    while (cw_frame_next(&r, &env) == CW_OK) {
        cw_frame_free(env);
    }
    cw_frame_reader_finish(&r);
}

static struct jobs_fixture fixture;

/* Loads the bytes as a job's spec and as its progress. */
static void
decode_record(struct cw_str in)
{
    struct cw_sched s;
    static const struct cw_sched_ops ops;
    static const struct cw_sched_limits limits = {1000, 4000, 2000};

    cw_sched_init(&s, &limits, &ops, NULL);
    (void)cw_sched_load(&s, CW_LIT("j0000000000000007"), in, 1000);
    (void)cw_sched_load(&s, CW_LIT("p0000000000000007"), in, 1000);
    cw_sched_loaded(&s, 1000);
    cw_sched_finish(&s);
}

static void
run_mutations(struct cw_str sample, void (*decode)(struct cw_str in))
{
    uint64_t rounds = setting("CW_FUZZ_ROUNDS", ROUNDS);

    for (uint64_t i = 0; i < rounds; i++) {
        char bytes[MESSAGE_MAX];
        char *copy;
        size_t len = sample.len < MESSAGE_MAX ? sample.len : MESSAGE_MAX;

        memcpy(bytes, sample.ptr, len);
        len = mutate(bytes, len);
        /* An allocation of the exact length shows reads past the end. */
        copy = malloc(len + 1);
        assert_non_null(copy);
        memcpy(copy, bytes, len);
        copy = realloc(copy, len > 0 ? len : 1);
        assert_non_null(copy);
        decode((struct cw_str){copy, len});
        free(copy);
    }
}

static void
test_text_decoders(void **state)
{
    (void)state;
    static const struct {
        void (*decode)(struct cw_str in);
        const char *sample;
    } cases[] = {
        {decode_config,
         "{\"version\":3,\"routes\":[{\"name\":\"q\",\"host\":\"h.example\","
         "\"pathPrefix\":\"/j/\",\"service\":\"s\",\"maxAttempts\":2,"
         "\"stretch\":1.5,\"sloMs\":600}],\"services\":[{\"name\":\"s\"},"
         "{\"name\":\"off\",\"spare\":true}]}"},
        {decode_wave,
         "{\"wave\":1,\"machines\":[\"m-1\",\"m-2\"],\"durationS\":24,"
         "\"maxCount\":2}"},
        {decode_worker,
         "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"state\":\"ready\","
         "\"zone\":\"z\",\"machine\":\"m-1\",\"born\":1764864000000,"
         "\"labels\":[\"a\",\"r1-3\"],\"capacity\":{\"cpu\":16000,"
         "\"memMb\":32768}}"},
        {decode_submission,
         "{\"spec\":\"text\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":"
         "256,"
         "\"estimateMs\":900},{\"count\":20,\"cpu\":2000,\"after\":[0],"
         "\"gang\":true,\"checkpoints\":true}],\"repeats\":2,\"firstMs\":1,"
         "\"intervalMs\":500}"},
        {decode_settings,
         "{\"daemon\":\"d1\",\"dc\":\"z\",\"listen\":\"127.0.0.1:1\","
         "\"ready_listen\":\"127.0.0.1:2\",\"peer_listen\":\"127.0.0.1:3\","
         "\"store\":\"127.0.0.1:4\",\"cores\":0.5,\"grace_s\":6}"},
    };

    for (size_t i = 0; i < COUNT(cases); i++) {
        run_mutations(cw_str_from(cases[i].sample), cases[i].decode);
    }
}

static void
test_frames(void **state)
{
    (void)state;
    static const char frame[] = {0, 0, 0,  12, 8,  1, 98,  8,
                                 8, 1, 16, 1,  34, 2, 'q', '0'};

    run_mutations((struct cw_str){frame, sizeof(frame)}, decode_frames);
}

static void
test_records(void **state)
{
    (void)state;
    struct cw_job_spec spec;

    jobs_setup(&fixture);
    assert_non_null(jobs_add_worker(&fixture, "w1", "vm1", 8000));
    spec = jobs_chain_spec(7, 2, 3, 1000);
    assert_non_null(jobs_accept(&fixture, &spec));
    jobs_commit(&fixture);
    assert_true(fixture.stored_count >= 2);
    for (size_t i = 0; i < fixture.stored_count; i++) {
        run_mutations(
            (struct cw_str){fixture.stored[i].value, fixture.stored[i].len},
            decode_record);
    }
    jobs_teardown(&fixture);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_text_decoders),
        cmocka_unit_test(test_frames),
        cmocka_unit_test(test_records),
    };
    uint64_t seed = setting("CW_FUZZ_SEED", 1);

    cw_logger_setup(CW_ERROR + 1, stderr, NULL);
    print_message("seed %llu\n", (unsigned long long)seed);
    cw_rng_init(&rng, seed);
    pf_caller_port(&ports);
    pf_record_port(&ports);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
