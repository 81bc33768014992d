/* Linked into a daemon of the soak's own with --wrap=clock_gettime: shifts its
 * time of day by the milliseconds, as eight bytes, in the file
 * SOAK_SHIFT_DIR/NAME.shift, where NAME is that of its settings file without
 * the folder. */
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_MS 1000000LL
#define NS_PER_S 1000000000LL

int __real_clock_gettime(clockid_t id, struct timespec *t);
int __wrap_clock_gettime(clockid_t id, struct timespec *t);

static const volatile int64_t *shift_ms;

__attribute__((constructor)) static void
open_shift(void)
{
    const char *dir = getenv("SOAK_SHIFT_DIR");
    const char *settings = getenv("CUMINWALK_SETTINGS");
    const char *name = settings == NULL ? NULL : strrchr(settings, '/');
    char path[600];
    void *p;
    int fd;

    if (dir == NULL || name == NULL) {
        return;
    }
    snprintf(path, sizeof(path), "%s%s.shift", dir, name);
    fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return;
    }
    p = mmap(NULL, sizeof(*shift_ms), PROT_READ, MAP_SHARED, fd, 0);
    shift_ms = p == MAP_FAILED ? NULL : p;
    close(fd);
}

int
__wrap_clock_gettime(clockid_t id, struct timespec *t)
{
    int rc = __real_clock_gettime(id, t);
    long long ns;

    if (rc != 0 || id != CLOCK_REALTIME || shift_ms == NULL) {
        return rc;
    }
    ns = t->tv_nsec + *shift_ms * NS_PER_MS;
    t->tv_sec += ns / NS_PER_S;
    t->tv_nsec = ns % NS_PER_S;
    if (t->tv_nsec < 0) {
        t->tv_nsec += NS_PER_S;
        t->tv_sec--;
    }
    return 0;
}
