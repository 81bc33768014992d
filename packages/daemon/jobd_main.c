/* Main program of the job service: settings, signals, platform adapter. */
#include "cw_jobd.h"
#include "cw_jobd_main.h"
#include "cw_platform.h"

#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define SETTINGS_MAX_BYTES ((size_t)64 * 1024)
/* The settings file may change without a signal, so it is read again at this
 * interval. */
#define SETTINGS_POLL_MS 1000
/* Larger blocks, which are mostly request bodies, are mapped, and returned to
 * the system when they are freed. By default this threshold grows with the
 * blocks that are freed. */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

struct program {
    uv_loop_t loop;
    struct cw_jobd d;
    struct cw_platform *platform;
    const char *path;
    uv_signal_t signals[3];
    uv_timer_t settings_timer;
    char *text; /* of the settings in force */
    size_t text_len;
};

char *
cw_settings_read(const char *path, size_t *len)
{
    char *text = malloc(SETTINGS_MAX_BYTES);
    FILE *f = fopen(path, "rb");
    bool ok = text != NULL && f != NULL;

    *len = 0;
    if (ok) {
        *len = fread(text, 1, SETTINGS_MAX_BYTES, f);
        ok = ferror(f) == 0;
    }
    if (f != NULL) {
        (void)fclose(f);
    }
    if (!ok) {
        free(text);
        return NULL;
    }
    return text;
}

static bool
parse_settings(const char *path, struct cw_str text,
               struct cw_jobd_settings *s)
{
    struct cw_faults faults = {0};
    enum cw_status st = cw_jobd_settings_parse(s, text, &faults);

    for (size_t i = 0; i < faults.count; i++) {
        cw_log(CW_ERROR, "setting_invalid", "file=%s key=%s reason=\"%s\"",
               path, faults.items[i].path, faults.items[i].text);
    }
    return st == CW_OK;
}

static void
reload_settings(struct program *p, const char *cause)
{
    size_t len;
    char *text = cw_settings_read(p->path, &len);
    struct cw_jobd_settings s;

    /* A file that is being replaced may be empty for a short time. */
    if (text == NULL || len == 0) {
        cw_log(CW_WARN, "settings_unreadable", "file=%s", p->path);
        free(text);
        return;
    }
    if (len == p->text_len && memcmp(text, p->text, len) == 0) {
        free(text);
        return;
    }
    cw_log(CW_INFO, "settings_changed", "cause=%s bytes=%zu", cause, len);
    free(p->text);
    p->text = text;
    p->text_len = len;
    if (parse_settings(p->path, (struct cw_str){text, len}, &s)) {
        cw_jobd_reload(&p->d, &s);
    }
}

static void
on_signal(uv_signal_t *h, int signum)
{
    struct program *p = h->data;

    if (signum == SIGHUP) {
        reload_settings(p, "signal");
    }
    else {
        cw_jobd_stop(&p->d);
    }
}

static void
on_settings_timer(uv_timer_t *t)
{
    reload_settings(t->data, "file");
}

static bool
start_watching(struct program *p)
{
    static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};

    /* A closed connection is reported by the failed write instead. */
    (void)signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; i < 3; i++) {
        p->signals[i].data = p;
        if (uv_signal_init(&p->loop, &p->signals[i]) != 0 ||
            uv_signal_start(&p->signals[i], on_signal, numbers[i]) != 0) {
            return false;
        }
    }
    p->settings_timer.data = p;
    return uv_timer_init(&p->loop, &p->settings_timer) == 0 &&
           uv_timer_start(&p->settings_timer, on_settings_timer,
                          SETTINGS_POLL_MS, SETTINGS_POLL_MS) == 0;
}

static int
run(struct program *p)
{
    struct cw_jobd *d = &p->d;
    struct cw_platform_options o = {d->settings.store.text,
                                    d->settings.vm_control.text};

    if (uv_loop_init(&p->loop) != 0) {
        cw_log(CW_ERROR, "start_failed",
               "reason=\"cannot create the event loop\"");
        return EXIT_FAILURE;
    }
    d->loop = &p->loop;
    d->clock = cw_clock_system();
    p->platform = cw_platform_open(&p->loop, &o, &d->ports, d->msg);
    if (p->platform == NULL || !start_watching(p) ||
        cw_jobd_start(d) != CW_OK) {
        cw_log(CW_ERROR, "start_failed", "reason=\"%s\"", d->msg);
        return EXIT_FAILURE;
    }
    uv_run(&p->loop, UV_RUN_DEFAULT);
    cw_jobd_finish(d);
    cw_platform_close(p->platform);
    return EXIT_SUCCESS;
}

int
cw_jobd_main(const char *settings_path, bool check)
{
    static struct program program;
    struct program *p = &program;

    (void)mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    cw_logger_setup(CW_INFO, stdout, NULL);
    p->path = settings_path;
    p->text = cw_settings_read(settings_path, &p->text_len);
    if (p->text == NULL || p->text_len == 0) {
        cw_log(CW_ERROR, "settings_unreadable", "file=%s", settings_path);
        return EXIT_FAILURE;
    }
    if (!parse_settings(settings_path, (struct cw_str){p->text, p->text_len},
                        &p->d.settings)) {
        return EXIT_FAILURE;
    }
    if (check) {
        printf("%s: settings are valid\n", settings_path);
        return EXIT_SUCCESS;
    }
    cw_logger_setup(p->d.settings.log_level, stdout,
                    p->d.settings.daemon.text);
    return run(p);
}
