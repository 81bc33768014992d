/* Fixture for tests of maintenance and moves: processes of the platform and
 * endpoint stand-ins and of three daemons. */
#ifndef WAVE_FLEET_H
#define WAVE_FLEET_H

#include "proc.h"

#define FLEET_DAEMONS 3
#define FLEET_STOCK 6 /* VMs of pool stock; the others are in pool spare */
#define FLEET_VMS 10

struct wave_fleet {
    struct proc_env env;
    struct proc *daemons[FLEET_DAEMONS];
    json_t *log;   /* records of the stream config, oldest first */
    uint64_t next; /* offset at which the next read begins */
    /* Arguments of the current fleet_wait. */
    const char *type;
    const char *key;
    const char *value;
    size_t min_count;
};

void fleet_start(struct wave_fleet *f);
void fleet_stop(struct wave_fleet *f, bool keep_logs);
/* Appends a document of the service that is based on version base. */
void fleet_put(struct wave_fleet *f, const char *service, uint64_t base,
               int vms_min, bool spare);
/* Waits until the log has at least min_count records of the type whose field
 * key has the value. */
bool fleet_wait(struct wave_fleet *f, const char *type, const char *key,
                const char *value, size_t min_count, int limit_ms);
/* Number of such records among those read so far. */
size_t fleet_count(const struct wave_fleet *f, const char *type,
                   const char *key, const char *value);
/* The last such record, or NULL. */
const json_t *fleet_last(const struct wave_fleet *f, const char *type,
                         const char *key, const char *value);
/* The daemon that wrote a record. */
struct proc *fleet_writer(struct wave_fleet *f, const json_t *record);
/* Posts a fault to the platform stand-in. */
void fleet_fault(struct wave_fleet *f, const char *json);
/* Total of the platform's GET /violations. */
int64_t fleet_violations(const struct wave_fleet *f);

#endif
