/* cuminwalkd: the daemon on an entry VM, and with --jobs the job service. */
#include "cw_clients.h"
#include "cw_daemon.h"
#include "cw_jobd_main.h"

#include <popt.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Path of the settings file, used without --settings. */
#define SETTINGS_ENV "CUMINWALK_SETTINGS"

#define EXIT_USAGE 2

struct options {
    char *settings;
    bool check;
    bool jobs;
};

/* Objects with the lifetime of the process. */
struct process {
    uv_loop_t loop;
    struct cw_settings settings;
    struct cw_log_client log;
    struct cw_vmlist_client vmlist;
    struct cw_pool_client pool;
    struct cw_worker_client worker;
    struct cw_daemon daemon;
    uv_signal_t signals[2];
};

/* Returns -1 to continue, otherwise the exit code. */
static int
parse_options(int argc, const char **argv, struct options *o)
{
    int check = 0;
    int jobs = 0;
    int version = 0;
    const char *from_env = getenv(SETTINGS_ENV);
    struct poptOption table[] = {
        {"settings", 's', POPT_ARG_STRING, &o->settings, 0,
         "settings file (JSON)", "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &check, 0,
         "check the settings file and exit", NULL},
        {"jobs", 'j', POPT_ARG_NONE, &jobs, 0, "run the job service", NULL},
        {"version", 'V', POPT_ARG_NONE, &version, 0,
         "print the version and exit", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx = poptGetContext("cuminwalkd", argc, argv, table, 0);
    int rc = poptGetNextOpt(ctx);
    int code = -1;

    o->check = check != 0;
    o->jobs = jobs != 0;
    if (o->settings == NULL && from_env != NULL) {
        o->settings = strdup(from_env);
    }
    if (rc < -1) {
        fprintf(stderr, "cuminwalkd: %s: %s\n",
                poptBadOption(ctx, POPT_BADOPTION_NOALIAS), poptStrerror(rc));
        code = EXIT_USAGE;
    }
    else if (version != 0) {
        printf("cuminwalkd %s\n", CW_VERSION);
        code = EXIT_SUCCESS;
    }
    else if (poptPeekArg(ctx) != NULL || o->settings == NULL) {
        fprintf(stderr, "cuminwalkd: --settings FILE or " SETTINGS_ENV
                        " is required, and only options are accepted; see "
                        "--help\n");
        code = EXIT_USAGE;
    }
    poptFreeContext(ctx);
    return code;
}

static bool
read_settings(const char *path, struct cw_settings *s)
{
    struct cw_faults faults = {0};
    size_t len;
    char *text = cw_settings_read(path, &len);
    enum cw_status st = CW_ERR_IO;

    if (text == NULL) {
        fprintf(stderr, "cuminwalkd: %s: cannot read the file\n", path);
    }
    else {
        st = cw_settings_parse(s, (struct cw_str){text, len}, &faults);
        for (size_t i = 0; i < faults.count; i++) {
            fprintf(stderr, "cuminwalkd: %s: %s: %s\n", path,
                    faults.items[i].path, faults.items[i].text);
        }
    }
    free(text);
    return st == CW_OK;
}

static void
on_signal(uv_signal_t *s, int signum)
{
    (void)signum;
    cw_daemon_stop(s->data);
}

static bool
watch_signals(struct process *p)
{
    static const int numbers[] = {SIGTERM, SIGINT};

    /* A closed connection is reported by the failed write instead. */
    (void)signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; i < 2; i++) {
        p->signals[i].data = &p->daemon;
        if (uv_signal_init(&p->loop, &p->signals[i]) != 0 ||
            uv_signal_start(&p->signals[i], on_signal, numbers[i]) != 0) {
            return false;
        }
    }
    return true;
}

static bool
open_platform(struct process *p)
{
    const char *address = p->settings.platform.text;

    if (cw_log_client_init(&p->log, &p->loop, address) != CW_OK ||
        cw_vmlist_client_init(&p->vmlist, &p->loop, address) != CW_OK ||
        cw_pool_client_init(&p->pool, &p->loop, address) != CW_OK ||
        cw_worker_client_init(&p->worker, &p->loop, address) != CW_OK) {
        fprintf(stderr, "cuminwalkd: invalid platform address %s\n", address);
        return false;
    }
    cw_log_client_port(&p->log, &p->daemon.log);
    cw_vmlist_client_port(&p->vmlist, &p->daemon.vmlist);
    cw_pool_client_port(&p->pool, &p->daemon.pool);
    cw_worker_client_port(&p->worker, &p->daemon.worker);
    p->daemon.log_traffic = &p->log.http.traffic;
    p->daemon.vmlist_traffic = &p->vmlist.http.traffic;
    p->daemon.pool_traffic = &p->pool.http.traffic;
    p->daemon.worker_traffic = &p->worker.http.traffic;
    return true;
}

static int
run(struct process *p)
{
    struct cw_daemon *d = &p->daemon;
    int code = EXIT_SUCCESS;

    if (uv_loop_init(&p->loop) != 0 || !open_platform(p)) {
        return EXIT_FAILURE;
    }
    d->loop = &p->loop;
    d->clock = cw_clock_system();
    d->settings = &p->settings;
    if (!watch_signals(p) || cw_daemon_start(d) != CW_OK) {
        fprintf(stderr, "cuminwalkd: %s\n", d->msg);
        code = EXIT_FAILURE;
    }
    else {
        uv_run(&p->loop, UV_RUN_DEFAULT);
    }
    d->stopped = true;
    cw_log_client_finish(&p->log);
    cw_vmlist_client_finish(&p->vmlist);
    cw_pool_client_finish(&p->pool);
    cw_worker_client_finish(&p->worker);
    cw_daemon_finish(d);
    return code;
}

int
main(int argc, const char **argv)
{
    static struct process process;
    struct options o = {0};
    int code = parse_options(argc, argv, &o);

    if (code >= 0) {
        free(o.settings);
        return code;
    }
    if (o.jobs) {
        code = cw_jobd_main(o.settings, o.check);
        free(o.settings);
        return code;
    }
    if (!read_settings(o.settings, &process.settings)) {
        free(o.settings);
        return EXIT_FAILURE;
    }
    if (o.check) {
        printf("%s: settings are valid\n", o.settings);
        code = EXIT_SUCCESS;
    }
    else {
        cw_logger_setup(process.settings.log_level, stderr,
                        process.settings.daemon.text);
        code = run(&process);
    }
    free(o.settings);
    cw_settings_finish(&process.settings);
    return code;
}
