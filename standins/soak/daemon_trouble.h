/* Part of soak_daemon.c, which has the daemons: their time of day, and resets
 * of their connections to the store. */
#ifndef SOAK_DAEMON_TROUBLE_H
#define SOAK_DAEMON_TROUBLE_H

#include "trouble.h"

#include <sys/mman.h>

static int64_t *shifts[SOAK_DAEMONS];

/* NULL when the file cannot be made. */
static int64_t *
map_shift(const char *folder, int i)
{
    char path[600];
    void *p;
    int fd;

    snprintf(path, sizeof(path), "%s/front-%d.json.shift", folder, i + 1);
    fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (fd < 0 || ftruncate(fd, sizeof(int64_t)) != 0) {
        rig_exit(2, "cannot make %s", path);
    }
    p = mmap(NULL, sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    return p == MAP_FAILED ? NULL : p;
}

void
clock_prepare(const char *folder)
{
    char *dir = realpath(folder, NULL);

    /* The daemons started from there are target/cuminwalkd as elsewhere. */
    if (dir == NULL || chdir("target/soak/clock") != 0) {
        rig_exit(2, "no daemon whose time of day can be shifted");
    }
    for (int i = 0; i < soak_daemons; i++) {
        shifts[i] = map_shift(dir, i);
    }
    setenv("SOAK_SHIFT_DIR", dir, 1);
    free(dir);
}

void
clock_shift(int i, long long ms)
{
    if (shifts[i] != NULL) {
        rec("daemon %s: its time of day is %lld ms ahead", soak_d[i]->name,
            ms);
        __atomic_store_n(shifts[i], ms, __ATOMIC_RELAXED);
    }
}

void
daemon_reset_store(int i)
{
    pthread_mutex_lock(&rig_lock);
    rec("daemon %s: its connections to the store are reset", soak_d[i]->name);
    server_reset(&soak_d[i]->store);
    pthread_mutex_unlock(&rig_lock);
}

#endif
