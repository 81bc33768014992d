/* A daemon whose process is killed and started again within its membership
 * takes over under the epoch of its former process. */
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define VISIBLE_MS 3000

int
main(int argc, char **argv)
{
    struct daemon *d[3];
    struct daemon *first;
    struct daemon *second;
    char state[32];
    long long accepted;
    int status;

    rig_init(argc, argv);
    put_config();
    worker_new(SERVICE, 4000);
    worker_new(SERVICE, 4000);
    for (int i = 0; i < 3; i++) {
        char name[16];

        snprintf(name, sizeof(name), "front-%d", i + 1);
        d[i] = daemon_new(name);
        daemon_start(d[i]);
    }
    for (int i = 0; i < 3; i++) {
        if (!daemon_wait_ready(d[i], 10000)) {
            rig_exit(2, "a daemon did not become ready");
        }
    }
    sleep_ms(3000);
    first = store_owner();
    if (first == NULL) {
        rig_exit(2, "no daemon owns part 0");
    }
    /* A machine is lost for good; another daemon takes over. */
    if (rig_trouble()) {
        daemon_kill(first);
        sleep_ms(4000);
    }
    second = store_owner();
    if (second == NULL || (rig_trouble() && second == first)) {
        rig_exit(2, "nobody took over");
    }
    status = submit(&second, 1, "00000000000000a1", 1, 500, 300, "", 5000);
    if (status != 200) {
        rig_exit(2, "the first job was not accepted: %d", status);
    }
    sleep_ms(1500);
    /* The second daemon's process is killed; the platform starts it again. */
    if (rig_trouble()) {
        daemon_kill(second);
        sleep_ms(START_DELAY_MS);
        daemon_start(second);
    }
    sleep_ms(4000);
    second = store_owner();
    if (second == NULL || !daemon_wait_ready(second, 5000)) {
        rig_exit(2, "nobody schedules");
    }
    status = submit(&second, 1, "00000000000000b2", 1, 500, 0,
                    ",\"persistent\":true", 5000);
    accepted = now_ms();
    if (status != 200) {
        rig_exit(2, "the second job was not accepted: %d", status);
    }
    sleep_ms(3500);
    /* A planned stop: the role goes to the next daemon. */
    if (rig_trouble()) {
        daemon_signal(second, SIGTERM);
    }
    sleep_ms(9000);
    for (int i = 0; i < 3; i++) {
        if (rig_trouble() && (d[i] == first || d[i] == second)) {
            continue;
        }
        status = get_state(d[i], "00000000000000b2", state, sizeof(state));
        if (status == 410 && now_ms() - accepted > VISIBLE_MS) {
            rig_exit(1, "LOST: a job accepted with 200 at %.3f s is answered "
                        "410 at %.3f s by %s",
                     (double)accepted / 1000, (double)now_ms() / 1000,
                     daemon_name(d[i]));
        }
        if (status != 200) {
            rig_exit(2, "the job's state was answered %d", status);
        }
    }
    rig_exit(0, "the accepted job is known: %s", state);
}
