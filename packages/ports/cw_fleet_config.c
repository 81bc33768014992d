/* Fleet configuration written by operators: routes, services and tenants. */
#include "cw_job_ports.h"

#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

void
cw_fleet_config_finish(struct cw_fleet_config *c)
{
    free(c->routes);
    free(c->services);
    free(c->tenants);
    free(c->keys);
    memset(c, 0, sizeof(*c));
}

static struct cw_key_entry
hash_key(const struct cw_fleet_config *c, struct cw_str key)
{
    return (struct cw_key_entry){
        .hash = {cw_hash(key, c->key_seed[0]), cw_hash(key, c->key_seed[1])}};
}

/* Returns the entry of the key, or NULL. */
static const struct cw_key_entry *
find_key(const struct cw_fleet_config *c, struct cw_str key)
{
    struct cw_key_entry k = hash_key(c, key);
    const struct cw_key_entry *found = NULL;

    /* No early exit: the time of an answer must not tell where a key is. */
    for (size_t i = 0; i < c->key_count; i++) {
        uint64_t differs = (c->keys[i].hash[0] ^ k.hash[0]) |
                           (c->keys[i].hash[1] ^ k.hash[1]);

        found = differs == 0 ? &c->keys[i] : found;
    }
    return found;
}

enum cw_status
cw_fleet_config_add_key(struct cw_fleet_config *c, struct cw_str key,
                        uint32_t tenant)
{
    const struct cw_key_entry *same;
    struct cw_key_entry *grown;

    if (key.len == 0 || c->key_count == CW_KEYS_MAX) {
        return CW_ERR_LIMIT;
    }
    if (c->key_count == 0) {
        CW_INVARIANT(getrandom(c->key_seed, sizeof(c->key_seed), 0) ==
                     (ssize_t)sizeof(c->key_seed));
    }
    same = find_key(c, key);
    if (same != NULL) {
        return same->tenant == tenant ? CW_OK : CW_ERR_CONFLICT;
    }
    grown = realloc(c->keys, (c->key_count + 1) * sizeof(*grown));
    CW_INVARIANT(grown != NULL);
    c->keys = grown;
    grown[c->key_count] = hash_key(c, key);
    grown[c->key_count++].tenant = tenant;
    return CW_OK;
}

const struct cw_tenant_entry *
cw_fleet_config_find_tenant(const struct cw_fleet_config *c, struct cw_str key)
{
    const struct cw_key_entry *k = key.len == 0 ? NULL : find_key(c, key);

    return k == NULL ? NULL : &c->tenants[k->tenant];
}

const struct cw_route_entry *
cw_fleet_config_find_route(const struct cw_fleet_config *c, struct cw_str host,
                           struct cw_str path, struct cw_str *rest)
{
    const struct cw_route_entry *best = NULL;

    for (size_t i = 0; i < c->route_count; i++) {
        const struct cw_route_entry *r = &c->routes[i];

        if ((best == NULL || r->prefix_len > best->prefix_len) &&
            cw_str_starts(path, (struct cw_str){r->prefix, r->prefix_len}) &&
            cw_str_eq_nocase(cw_name_str(&r->host), host)) {
            best = r;
        }
    }
    if (best != NULL) {
        rest->ptr = path.ptr + best->prefix_len;
        rest->len = path.len - best->prefix_len;
    }
    return best;
}
