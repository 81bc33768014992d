/* Limits on what callers hold in this process, and their metrics. */
#include "cw_jobd.h"

#define METRICS_INTERVAL_MS 1000
/* The readiness probe and the metrics page have few callers and no bodies. */
#define PAGE_CONNS_MAX 16
#define PAGE_BODY_MAX_BYTES 4096
/* A job is large above this part of the memory for jobs. */
#define LARGE_JOB_PART 64

enum cw_status
cw_limits_apply(struct cw_jobd *d)
{
    struct cw_http_limits pages = d->settings.limits;
    const struct cw_http_limits *l = &d->settings.limits;
    enum cw_status s;

    pages.conns_max = PAGE_CONNS_MAX;
    pages.body_max = PAGE_BODY_MAX_BYTES;
    pages.bytes_max = PAGE_CONNS_MAX * pages.head_max;
    s = cw_http_server_limit(&d->front, l);
    if (s == CW_OK) {
        s = cw_http_server_limit(&d->ready, &pages);
    }
    if (s == CW_OK && d->metrics_server.ready) {
        s = cw_http_server_limit(&d->metrics_server, &pages);
    }
    if (s != CW_OK) {
        return cw_fail(d->msg, s, "cannot limit the listeners");
    }
    cw_log(CW_INFO, "caller_limits",
           "connections=%zu request_bytes=%zu body=%zu head=%zu held=%zu "
           "jobs=%zu",
           l->conns_max, l->bytes_max, l->body_max, l->head_max,
           d->settings.held_max, d->settings.jobs_max);
    return CW_OK;
}

static size_t
spec_bytes(const struct cw_job_spec *spec)
{
    return spec->step_count * sizeof(*spec->steps) + spec->text_len;
}

static size_t
job_bytes_counted(const struct cw_sched *s)
{
    size_t bytes = 0;

    for (size_t b = 0; b < CW_SCHED_BUCKETS; b++) {
        for (const struct cw_job_entry *j = s->buckets[b]; j != NULL;
             j = j->bucket_next) {
            bytes += sizeof(*j) + j->task_count * sizeof(*j->tasks) +
                     spec_bytes(&j->spec);
        }
    }
    return bytes;
}

bool
cw_limits_take_job(struct cw_jobd *d, const struct cw_job_spec *spec)
{
    size_t max = d->settings.jobs_max;
    size_t bytes = sizeof(struct cw_job_entry) + spec_bytes(spec);

    bytes += (size_t)cw_job_spec_task_count(spec) * spec->repeats *
             sizeof(struct cw_task);
    /* Few jobs of thousands of tasks must not keep small ones out. */
    if (max > 0 && d->job_bytes + bytes >
                       (bytes > max / LARGE_JOB_PART ? max / 2 : max)) {
        return false;
    }
    d->job_bytes += bytes;
    return true;
}

static void
set_gauge(struct cw_jobd *d, const char *name, size_t value)
{
    double *g = cw_metrics_gauge(&d->metrics, name, "");

    if (g != NULL) {
        *g = (double)value;
    }
}

void
cw_limits_tick(struct cw_jobd *d, cw_ms now)
{
    const struct cw_http_budget *b = &d->front.budget;

    if (now < d->limits_metrics_due) {
        return;
    }
    d->limits_metrics_due = now + METRICS_INTERVAL_MS;
    d->job_bytes = d->sched != NULL ? job_bytes_counted(d->sched) : 0;
    set_gauge(d, "cuminwalk_job_bytes", d->job_bytes);
    set_gauge(d, "cuminwalk_caller_connections", b->conns);
    set_gauge(d, "cuminwalk_caller_connections_peak", b->conns_peak);
    set_gauge(d, "cuminwalk_caller_bytes", b->bytes);
    set_gauge(d, "cuminwalk_caller_bytes_peak", b->bytes_peak);
    for (int r = CW_HTTP_KEEP + 1; r < CW_HTTP_REASONS; r++) {
        char label[64];
        uint64_t *v;

        (void)snprintf(label, sizeof(label), "kind=\"%s\"",
                       cw_http_reason_name((enum cw_http_reason)r));
        v = cw_metrics_counter(
            &d->metrics, "cuminwalk_caller_connections_closed_total", label);
        if (v != NULL) {
            *v = b->closed[r];
        }
    }
}
