/* Registry of counters, gauges and histograms with text exposition. */
#include "cuminwalk.h"

#include <stdlib.h>
#include <string.h>

enum metric_kind { METRIC_COUNTER, METRIC_GAUGE, METRIC_HIST };

struct cw_metric {
    enum metric_kind kind;
    char *name;
    char *labels;
    /* The value stands on the heap: its address survives growth of the
     * registry, as the callers keep it. */
    union {
        uint64_t *counter;
        double *gauge;
        struct cw_hist *hist;
        void *any;
    } value;
};

void
cw_metrics_init(struct cw_metrics *m)
{
    memset(m, 0, sizeof(*m));
}

void
cw_metrics_finish(struct cw_metrics *m)
{
    for (size_t i = 0; i < m->count; i++) {
        free(m->items[i].name);
        free(m->items[i].labels);
        free(m->items[i].value.any);
    }
    free(m->items);
    memset(m, 0, sizeof(*m));
}

static struct cw_metric *
find(const struct cw_metrics *m, enum metric_kind kind, const char *name,
     const char *labels)
{
    for (size_t i = 0; i < m->count; i++) {
        struct cw_metric *x = &m->items[i];
        if (x->kind == kind && strcmp(x->name, name) == 0 &&
            strcmp(x->labels, labels) == 0) {
            return x;
        }
    }
    return NULL;
}

static void *
get(struct cw_metrics *m, enum metric_kind kind, const char *name,
    const char *labels, size_t size)
{
    struct cw_metric *x = find(m, kind, name, labels);
    if (x != NULL) {
        return x->value.any;
    }
    if (m->count == m->cap) {
        size_t cap = m->cap == 0 ? 32 : m->cap * 2;
        struct cw_metric *p = realloc(m->items, cap * sizeof(*p));
        if (p == NULL) {
            return NULL;
        }
        m->items = p;
        m->cap = cap;
    }
    struct cw_metric item = {.kind = kind};
    item.name = strdup(name);
    item.labels = strdup(labels);
    item.value.any = calloc(1, size);
    if (item.name == NULL || item.labels == NULL || item.value.any == NULL) {
        free(item.name);
        free(item.labels);
        free(item.value.any);
        return NULL;
    }
    m->items[m->count++] = item;
    return item.value.any;
}

uint64_t *
cw_metrics_counter(struct cw_metrics *m, const char *name, const char *labels)
{
    return get(m, METRIC_COUNTER, name, labels, sizeof(uint64_t));
}

double *
cw_metrics_gauge(struct cw_metrics *m, const char *name, const char *labels)
{
    return get(m, METRIC_GAUGE, name, labels, sizeof(double));
}

struct cw_hist *
cw_metrics_hist(struct cw_metrics *m, const char *name, const char *labels)
{
    return get(m, METRIC_HIST, name, labels, sizeof(struct cw_hist));
}

static void
print_hist(const struct cw_metric *x, struct cw_buf *out)
{
    static const struct {
        double q;
        const char *text;
    } quantiles[] = {{0.5, "0.5"}, {0.9, "0.9"}, {0.99, "0.99"}};
    const char *comma = x->labels[0] == '\0' ? "" : ",";
    for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        cw_buf_addf(out, "%s{%s%squantile=\"%s\"} %llu\n", x->name, x->labels,
                    comma, quantiles[i].text,
                    (unsigned long long)cw_hist_quantile(x->value.hist,
                                                         quantiles[i].q));
    }
    cw_buf_addf(out, "%s_count{%s} %llu\n%s_sum{%s} %llu\n", x->name,
                x->labels, (unsigned long long)x->value.hist->count, x->name,
                x->labels, (unsigned long long)x->value.hist->sum);
}

void
cw_metrics_print(const struct cw_metrics *m, struct cw_buf *out)
{
    for (size_t i = 0; i < m->count; i++) {
        const struct cw_metric *x = &m->items[i];
        switch (x->kind) {
        case METRIC_COUNTER:
            cw_buf_addf(out, "%s{%s} %llu\n", x->name, x->labels,
                        (unsigned long long)*x->value.counter);
            break;
        case METRIC_GAUGE:
            cw_buf_addf(out, "%s{%s} %g\n", x->name, x->labels,
                        *x->value.gauge);
            break;
        case METRIC_HIST:
            print_hist(x, out);
            break;
        }
    }
}
