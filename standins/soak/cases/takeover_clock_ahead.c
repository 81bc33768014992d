/* Guards against TWICE: a successor whose time of day is ahead takes a young
 * runner for an old one, and counts on a short lease.
 *
 * A runner starts again under its id. A start reaches it before that is
 * noticed: its lease ends maxHoldMs later. Then it writes its first entry and
 * is cut off from the daemons. All daemons end at once and start again with a
 * time of day that is 20 s ahead. */
#include "case_held.h"

#include <stdint.h>
#include <stdlib.h>

#define RUNNERS 6
#define AHEAD_MS 20000
#define DOWN_MS 300
#define WATCH_MS 13000

static struct daemon *d[DAEMONS];
static struct worker *w[RUNNERS];
static char shift_folder[600];

static void
job_id(char out[20], int i)
{
    snprintf(out, 20, "%016x", 0x9f00 + i);
}

/* One task for each runner. */
static void
submit_all(void)
{
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (submit(d, DAEMONS, id, 1, 900, 40000, "", 5000) != 200) {
            rig_exit(2, "a job was not accepted");
        }
    }
}

/* Cancels a job that does not run on x. */
static void
make_room(const struct worker *x)
{
    struct exec_row row;
    char path[64];
    char id[20];

    for (int i = 0; i < RUNNERS; i++) {
        job_id(id, i);
        if (exec_find(id, &row, 1) == 1 && row.worker != x) {
            snprintf(path, sizeof(path), PREFIX "%s", id);
            (void)call(d[0], "DELETE", path, "", 4000, NULL, 0);
            return;
        }
    }
}

static void
wait_load(void)
{
    long long until = now_ms() + 3000;

    while (worker_load(w[0]) == 0 && now_ms() < until) {
        sleep_ms(2);
    }
    if (worker_load(w[0]) == 0) {
        rig_exit(2, "the runner has no task");
    }
}

/* See clock_shift.c. */
static void
prepare_clocks(const char *folder)
{
    char *dir = realpath(folder, NULL);

    if (dir == NULL || chdir("target/soak/clock") != 0) {
        rig_exit(2, "no daemon whose time of day can be shifted");
    }
    snprintf(shift_folder, sizeof(shift_folder), "%s", dir);
    setenv("SOAK_SHIFT_DIR", dir, 1);
    free(dir);
}

static void
shift_clock(const struct daemon *x, int64_t ms)
{
    char path[700];
    FILE *f;

    snprintf(path, sizeof(path), "%s/%s.json.shift", shift_folder,
             daemon_name(x));
    f = fopen(path, "w");
    if (f == NULL || fwrite(&ms, sizeof(ms), 1, f) != 1) {
        rig_exit(2, "cannot write %s", path);
    }
    fclose(f);
    rec("daemon %s: its time of day is %lld ms ahead", daemon_name(x),
        (long long)ms);
}

/* All daemons end and start again with a wrong time. */
static void
power_cut(void)
{
    for (int i = 0; i < DAEMONS; i++) {
        daemon_kill(d[i]);
        shift_clock(d[i], AHEAD_MS);
    }
    for (int i = 0; i < DAEMONS; i++) {
        sleep_ms(START_DELAY_MS);
        daemon_start(d[i]);
    }
    if (!daemon_wait_ready(d[0], 10000)) {
        rig_exit(2, "a daemon did not become ready");
    }
}

int
main(int argc, char **argv)
{
    int n;

    rig_init(argc, argv);
    prepare_clocks(argc > 1 ? argv[1] : ".");
    case_start(d, w, RUNNERS, 0);
    for (int i = 0; i < RUNNERS; i++) {
        held_wrap(w[i]);
    }
    if (rig_trouble()) {
        worker_crash(w[0]);
        sleep_ms(DOWN_MS);
        held_restart_unnoticed(w[0]);
    }
    submit_all();
    wait_load();
    if (rig_trouble()) {
        held_cut_set(w[0]);
        pthread_mutex_lock(&rig_lock);
        worker_beat(w[0]);
        pthread_mutex_unlock(&rig_lock);
        power_cut();
        make_room(w[0]);
    }
    sleep_ms(WATCH_MS);
    held_cut_set(NULL);
    sleep_ms(1500);
    n = check_twice();
    rig_exit(n > 0 ? 1 : 0, "TWICE: %d", n);
}
