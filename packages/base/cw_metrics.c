/* Registry of counters, gauges and histograms, and their text exposition. */
#include "cuminwalk.h"

#include <stdlib.h>
#include <string.h>

enum metric_kind { METRIC_COUNTER, METRIC_GAUGE, METRIC_HIST };

struct cw_metric {
    enum metric_kind kind;
    char *name;
    char *labels;
    /* Allocated separately: callers keep the pointer while the registry's
     * items are reallocated. */
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
find_metric(const struct cw_metrics *m, enum metric_kind kind,
            const char *name, const char *labels)
{
    for (size_t i = 0; i < m->count; i++) {
        struct cw_metric *metric = &m->items[i];
        if (metric->kind == kind && strcmp(metric->name, name) == 0 &&
            strcmp(metric->labels, labels) == 0) {
            return metric;
        }
    }
    return NULL;
}

static void *
get_or_add(struct cw_metrics *m, enum metric_kind kind, const char *name,
           const char *labels, size_t size)
{
    struct cw_metric *metric = find_metric(m, kind, name, labels);
    if (metric != NULL) {
        return metric->value.any;
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
    return get_or_add(m, METRIC_COUNTER, name, labels, sizeof(uint64_t));
}

double *
cw_metrics_gauge(struct cw_metrics *m, const char *name, const char *labels)
{
    return get_or_add(m, METRIC_GAUGE, name, labels, sizeof(double));
}

struct cw_hist *
cw_metrics_hist(struct cw_metrics *m, const char *name, const char *labels)
{
    return get_or_add(m, METRIC_HIST, name, labels, sizeof(struct cw_hist));
}

static void
print_hist(const struct cw_metric *metric, struct cw_buf *out)
{
    static const struct {
        double q;
        const char *text;
    } quantiles[] = {{0.5, "0.5"}, {0.9, "0.9"}, {0.99, "0.99"}};
    const char *separator = metric->labels[0] == '\0' ? "" : ",";
    for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++) {
        cw_buf_addf(out, "%s{%s%squantile=\"%s\"} %llu\n", metric->name,
                    metric->labels, separator, quantiles[i].text,
                    (unsigned long long)cw_hist_quantile(metric->value.hist,
                                                         quantiles[i].q));
    }
    cw_buf_addf(out, "%s_count{%s} %llu\n%s_sum{%s} %llu\n", metric->name,
                metric->labels, (unsigned long long)metric->value.hist->count,
                metric->name, metric->labels,
                (unsigned long long)metric->value.hist->sum);
}

void
cw_metrics_print(const struct cw_metrics *m, struct cw_buf *out)
{
    for (size_t i = 0; i < m->count; i++) {
        const struct cw_metric *metric = &m->items[i];
        switch (metric->kind) {
        case METRIC_COUNTER:
            cw_buf_addf(out, "%s{%s} %llu\n", metric->name, metric->labels,
                        (unsigned long long)*metric->value.counter);
            break;
        case METRIC_GAUGE:
            cw_buf_addf(out, "%s{%s} %g\n", metric->name, metric->labels,
                        *metric->value.gauge);
            break;
        case METRIC_HIST:
            print_hist(metric, out);
            break;
        }
    }
}
