/* Fault modes of the platform stand-in's services. */
#include "platform.h"

#include <stdlib.h>
#include <string.h>

struct delayed_reply {
    uv_timer_t timer;
    h2o_req_t *req;
    int status;
    json_t *value;
};

static void
free_delayed_reply(uv_handle_t *h)
{
    free(h->data);
}

static void
on_delay_ended(uv_timer_t *t)
{
    struct delayed_reply *d = t->data;
    http_reply_json(d->req, d->status, d->value);
    uv_close((uv_handle_t *)t, free_delayed_reply);
}

bool
plat_reply_if_down(const struct plat_fault *f, h2o_req_t *req)
{
    if (f->mode != PLAT_DOWN) {
        return false;
    }
    http_reply_json(req, 503, json_pack("{ss}", "error", "unavailable"));
    return true;
}

void
plat_reply(struct platform *p, struct plat_fault *f, h2o_req_t *req,
           bool effect, int status, json_t *value)
{
    if (f->mode == PLAT_LOSE && effect) {
        if (f->lose_calls <= 1) {
            f->mode = PLAT_UP;
        }
        f->lose_calls--;
        json_decref(value);
        http_drop_request(req, false);
        return;
    }
    if (f->mode != PLAT_SLOW) {
        http_reply_json(req, status, value);
        return;
    }
    struct delayed_reply *d = calloc(1, sizeof(*d));
    CW_INVARIANT(d != NULL);
    d->req = req;
    d->status = status;
    d->value = value;
    uv_timer_init(p->loop, &d->timer);
    d->timer.data = d;
    uv_timer_start(&d->timer, on_delay_ended, f->slow_ms, 0);
}

bool
plat_fault_set(struct plat_fault *f, const json_t *mode, const json_t *body)
{
    static const char *const mode_names[] = {"up", "down", "slow", "lose"};
    if (mode == NULL) {
        return true;
    }
    for (int i = PLAT_UP; i <= PLAT_LOSE; i++) {
        const char *name = json_string_value(mode);
        if (name != NULL && strcmp(name, mode_names[i]) == 0) {
            f->mode = (enum plat_mode)i;
            f->lose_calls = (uint32_t)http_json_u64(body, "lose_calls", 1);
            f->slow_ms = http_json_u64(body, "slow_ms", 1000);
            return true;
        }
    }
    return false;
}
