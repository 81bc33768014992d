/* Tests that the clock counts the time for which the VM was suspended: the
 * clock functions of the C library are replaced in this program. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#include "cuminwalk.h"

#define SUSPENDED_S 5

static bool suspended;

/* A suspension shows in the boot time and the time of day only. */
int
clock_gettime(clockid_t id, struct timespec *ts)
{
    int rc = (int)syscall(SYS_clock_gettime, id, ts);

    if (rc == 0 && suspended &&
        (id == CLOCK_BOOTTIME || id == CLOCK_REALTIME)) {
        ts->tv_sec += SUSPENDED_S;
    }
    return rc;
}

/* A membership that was valid for a second before the VM was suspended for
 * five must not look valid afterwards. */
static void
test_suspension_counts(void **state)
{
    (void)state;
    struct cw_clock c = cw_clock_system();
    cw_ms valid_until = c.now(c.ctx) + CW_SECOND;

    suspended = true;
    assert_true(c.now(c.ctx) > valid_until);
    suspended = false;
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_suspension_counts),
    };

    return cmocka_run_group_tests(tests, NULL, NULL);
}
