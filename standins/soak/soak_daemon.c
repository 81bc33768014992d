/* The daemons of review/lib, with their lives, the epochs that each used, and
 * faults of the answers to appends. */
/* NOLINTNEXTLINE(bugprone-suspicious-include): its state is static. */
#include "../../review/lib/daemon.c"

#include "soak.h"

#include "daemon_trouble.h"

#define EPOCHS_MAX 4096

struct epoch_row {
    long long epoch;
    int daemon;
    int life;
    long long at; /* first append */
};

static struct epoch_row epochs[EPOCHS_MAX];
static int epoch_count;
static int lives[SOAK_DAEMONS];
static int append_lost[SOAK_DAEMONS];
static int append_late[SOAK_DAEMONS];
static struct rng append_rng = {77};

int
daemon_index(const struct daemon *d)
{
    for (int i = 0; i < soak_daemons; i++) {
        if (soak_d[i] == d) {
            return i;
        }
    }
    return -1;
}

int
epoch_daemon(long long epoch, long long at, int *life)
{
    int out = -1;

    pthread_mutex_lock(&rig_lock);
    for (int i = 0; i < epoch_count; i++) {
        if (epochs[i].epoch == epoch && epochs[i].at <= at) {
            out = epochs[i].daemon;
            *life = epochs[i].life;
        }
    }
    pthread_mutex_unlock(&rig_lock);
    return out;
}

/* With the lock held. */
static void
note_epoch(int i, long long epoch)
{
    for (int k = epoch_count - 1; k >= 0; k--) {
        if (epochs[k].epoch == epoch && epochs[k].daemon == i &&
            epochs[k].life == lives[i]) {
            return;
        }
    }
    if (epoch_count == EPOCHS_MAX) {
        rig_exit(2, "too many epochs");
    }
    epochs[epoch_count++] = (struct epoch_row){epoch, i, lives[i], now_ms()};
    rec("daemon %s: life %d uses epoch=%lld", soak_d[i]->name, lives[i],
        epoch);
}

static bool
soak_store_request(void *ctx, struct req *r, struct answer *a)
{
    struct daemon *d = ctx;
    int i = daemon_index(d);
    bool append = strncmp(r->path, "/v1/log-append", 14) == 0;
    bool lost = false;
    bool late = false;
    bool ok;

    if (append && i >= 0) {
        pthread_mutex_lock(&rig_lock);
        note_epoch(i, param_int(r->path, "epoch", 0));
        lost = rng_chance(&append_rng, append_lost[i]);
        late = rng_chance(&append_rng, append_late[i]);
        pthread_mutex_unlock(&rig_lock);
    }
    if (d->link == LINK_OK && store_compacted_read(r, a)) {
        return true;
    }
    ok = daemon_store_request(ctx, r, a);
    if (ok) {
        store_compacted_first(r, a);
        store_limit_read(r, a);
    }
    if (late) {
        sleep_ms(900);
    }
    if (lost) {
        sleep_ms(1600); /* longer than the daemon waits */
        return false;
    }
    return ok;
}

void
soak_wrap_daemon(int i)
{
    soak_d[i]->store.handle = soak_store_request;
}

void
daemon_set_vm_control(int i)
{
    char path[256];
    char text[2048];
    size_t n;
    FILE *f;

    if (!site_is_large()) {
        return;
    }
    snprintf(path, sizeof(path), "%s/%s.json", rig_scratch, soak_d[i]->name);
    f = fopen(path, "r");
    n = f == NULL ? 0 : fread(text, 1, sizeof(text) - 1, f);
    text[n] = '\0';
    if (f == NULL || fclose(f) != 0 || text[0] != '{' ||
        (f = fopen(path, "w")) == NULL) {
        rig_exit(2, "cannot rewrite the settings of a daemon");
    }
    fprintf(f, "{\"vm_control\":\"127.0.0.1:%d\",%s", vms_port(), text + 1);
    fclose(f);
}

void
daemon_add(void)
{
    int i = soak_daemons;
    char name[24];

    snprintf(name, sizeof(name), "front-%d", i + 1);
    soak_d[i] = daemon_new(name);
    soak_wrap_daemon(i);
    daemon_set_vm_control(i);
    config_slow_link(name);
    daemon_start(soak_d[i]);
    soak_daemons++;
}

void
daemon_append_faults(int i, int lost, int late)
{
    pthread_mutex_lock(&rig_lock);
    append_lost[i] = lost;
    append_late[i] = late;
    pthread_mutex_unlock(&rig_lock);
}

void
daemon_start_again(int i)
{
    pthread_mutex_lock(&rig_lock);
    lives[i]++;
    pthread_mutex_unlock(&rig_lock);
    daemon_start(soak_d[i]);
}

void
daemon_roll(int i)
{
    struct daemon *d = soak_d[i];
    long long until = now_ms() + GRACE_S * 1000;

    if (d->pid <= 0) {
        return;
    }
    daemon_signal(d, SIGTERM);
    while (waitpid(d->pid, NULL, WNOHANG) == 0) {
        if (now_ms() > until) {
            daemon_kill(d);
            break;
        }
        sleep_ms(20);
    }
    d->pid = 0;
    sleep_ms(START_DELAY_MS);
    daemon_start_again(i);
}

int
daemon_reap(void)
{
    int n = 0;

    for (int i = 0; i < soak_daemons; i++) {
        int st = 0;

        if (soak_d[i]->pid > 0 &&
            waitpid(soak_d[i]->pid, &st, WNOHANG) == soak_d[i]->pid) {
            rec("daemon %s: ENDED BY ITSELF, status %d", soak_d[i]->name, st);
            soak_d[i]->pid = 0;
            sleep_ms(START_DELAY_MS);
            daemon_start_again(i);
            n++;
        }
    }
    return n;
}
