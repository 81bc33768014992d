/* Requests with an idempotency key: what runs, and the responses to a second
 * request with the key and to a request while the log is unavailable. */
#include "daemon_util.h"

#include <setjmp.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

static const char ok[] = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
static const char full[] = "HTTP/1.1 503 Busy\r\ncuminwalk-refused: full\r\n"
                           "content-length: 0\r\n\r\n";

struct step {
    const char *response; /* of the endpoint, NULL: closes without one */
    enum du_log_mode mode;
    unsigned status;
    const char *outcome;
    const char *code; /* NULL: the endpoint's response is passed on */
    unsigned runs;    /* requests that the endpoint received in this step */
};

struct key_case {
    const char *name;
    const char *doc;
    size_t count;
    struct step steps[2]; /* with the same key */
};

static bool
log_unavailable(void *arg)
{
    struct du *u = arg;

    return !cw_daemon_log_available(&u->d, cw_daemon_now(&u->d));
}

static void
run_step(struct du *u, const char *name, const struct step *s)
{
    struct cw_buf response;
    char outcome[64];
    char code[64];

    cw_buf_init(&response);
    u->script.response = s->response;
    u->script.len = s->response != NULL ? strlen(s->response) : 0;
    u->script.close = s->response == NULL;
    u->endpoint_requests = 0;
    u->log.mode = s->mode;
    if (s->mode == DU_LOG_DOWN) {
        du_run_until(u, log_unavailable, u);
    }
    du_exchange(u,
                CW_LIT("POST /stock/a HTTP/1.1\r\nhost: a\r\n"
                       "idempotency-key: k1\r\ncontent-length: 1\r\n"
                       "connection: close\r\n\r\nx"),
                &response);
    (void)snprintf(outcome, sizeof(outcome), "cuminwalk-outcome: %s",
                   s->outcome);
    (void)snprintf(code, sizeof(code), "{\"code\":\"%s\"",
                   s->code != NULL ? s->code : "");
    if (du_status(&response) != s->status ||
        !du_has_header(&response, outcome) ||
        u->endpoint_requests != s->runs ||
        (s->code != NULL &&
         !cw_str_starts(du_body(&response), cw_str_from(code)))) {
        fail_msg("%s: %u requests: %.*s", name, u->endpoint_requests,
                 CW_FMT(cw_buf_str(&response)));
    }
    if (s->mode == DU_LOG_DOWN && s->status == 200) {
        assert_true(du_has_header(&response, "cuminwalk-guarantee: none"));
    }
    cw_buf_finish(&response);
}

/* Guards against a second run of a keyed request (R5), against a key that
 * stays in use by a request that never ran, and against a key that is ignored
 * while the log is unavailable although the document does not allow that. */
static void
test_keys(void **state)
{
    static const struct key_case cases[] = {
        {"ran before",
         "",
         2,
         {{ok, DU_LOG_UP, 200, "run", NULL, 1},
          {ok, DU_LOG_UP, 409, "run", "key_already_run", 0}}},
        {"unknown before",
         "",
         2,
         {{NULL, DU_LOG_UP, 502, "unknown", "endpoint_lost", 1},
          {ok, DU_LOG_UP, 409, "unknown", "key_in_use", 0}}},
        {"refused before",
         "",
         2,
         {{full, DU_LOG_UP, 503, "not-run", "endpoint_full", 3},
          {ok, DU_LOG_UP, 200, "run", NULL, 1}}},
        {"append response lost",
         "",
         2,
         {{ok, DU_LOG_LOSE_RESPONSE, 200, "run", NULL, 1},
          {ok, DU_LOG_UP, 409, "run", "key_already_run", 0}}},
        {"log unavailable",
         "",
         1,
         {{ok, DU_LOG_DOWN, 503, "not-run", "log_unavailable", 0}}},
        {"log unavailable, check waived",
         ",\"outage\":\"run\"",
         1,
         {{ok, DU_LOG_DOWN, 200, "run", NULL, 1}}},
    };

    (void)state;
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        struct du *u = calloc(1, sizeof(*u));

        assert_non_null(u);
        du_start(u, cases[i].doc);
        for (size_t k = 0; k < cases[i].count; k++) {
            run_step(u, cases[i].name, &cases[i].steps[k]);
        }
        du_stop(u);
        free(u);
    }
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_keys),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
