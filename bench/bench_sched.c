/* Processor time of the scheduler by part, with simulated workers and VMs: the
 * mean over the run and the dearest second, for several sizes of fleet. Prints
 * name=value lines. */
#include "sched_world.h"

#include <string.h>

#define RUN_MS 30000

static void
run_size(size_t workers, double submissions_per_s, uint64_t seed)
{
    struct sched_params params = {workers, submissions_per_s, seed};
    struct sched_world *w = sched_world_new(&params);
    struct sched_totals t;
    int64_t total = 0;
    int64_t worst[PARTS] = {0};
    int64_t worst_sum = 0;
    char name[64];

    for (cw_ms second = 0; second < RUN_MS / 1000; second++) {
        int64_t before[PARTS];
        int64_t sum = 0;

        for (int i = 0; i < PARTS; i++) {
            before[i] = sched_world_cpu_us(w, i);
        }
        for (int i = 0; i < 1000 / SCHED_STEP_MS; i++) {
            sched_world_step(w);
        }
        for (int i = 0; i < PARTS; i++) {
            before[i] = sched_world_cpu_us(w, i) - before[i];
            sum += before[i];
        }
        total += sum;
        if (sum > worst_sum) {
            worst_sum = sum;
            memcpy(worst, before, sizeof(worst));
        }
    }
    t = sched_world_totals(w);
    for (int i = 0; i < PARTS; i++) {
        (void)snprintf(name, sizeof(name), "sched_%zu_%s_ms_per_s", workers,
                       sched_part_name(i));
        bench_print(name, "%.2f worst second %.2f",
                    (double)sched_world_cpu_us(w, i) / RUN_MS,
                    (double)worst[i] / 1000.0);
    }
    (void)snprintf(name, sizeof(name), "sched_%zu_ms_per_s", workers);
    bench_print(name, "%.2f worst second %.2f", (double)total / RUN_MS,
                (double)worst_sum / 1000.0);
    (void)snprintf(name, sizeof(name), "sched_%zu_load", workers);
    bench_print(
        name,
        "%.0f jobs/s %.0f starts/s %.0f ends/s %.0f moves/s %.0f "
        "record KB/s %zu runs",
        (double)t.jobs * 1000 / RUN_MS, (double)t.starts * 1000 / RUN_MS,
        (double)t.ends * 1000 / RUN_MS, (double)t.moves * 1000 / RUN_MS,
        (double)t.record_bytes / RUN_MS, t.running);
    sched_world_free(w);
}

int
main(int argc, char **argv)
{
    uint64_t seed = bench_seed(argc, argv);

    cw_logger_setup(CW_ERROR, stderr, NULL);
    run_size(300, 50, seed);
    run_size(1100, 180, seed);
    run_size(4100, 670, seed);
    return 0;
}
