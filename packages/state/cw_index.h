/* Indexes of the replicated state and the set of recent record ids. Private to
 * packages/state. */
#ifndef CW_INDEX_H
#define CW_INDEX_H

#include "cw_map.h"

struct cw_pool_entry {
    struct cw_name pool;
    size_t vms;                 /* number of VMs in the pool */
    struct cw_doc_entry *doc;   /* NULL while no document names the pool */
    struct cw_wave_entry *wave; /* open wave or NULL */
};

/* Number of departed daemons or VMs that are remembered, oldest dropped first.
 * At 520 replacements of VMs a day this covers about 2 days, while the
 * platform's VM list lags by minutes at most. */
#define CW_DEPARTED_MAX 1024

/* Last incarnations of daemons or VMs that are no longer in the state, so that
 * a late record of such an incarnation does not add it again. */
struct cw_departed {
    size_t count;
    struct {
        struct cw_name name;
        uint64_t incarnation;
    } items[CW_DEPARTED_MAX];
};

struct cw_state_index {
    struct cw_map docs;
    struct cw_map vms;
    struct cw_map ops;
    struct cw_map waves;
    struct cw_map pools;
    struct cw_pool_entry **pool_list; /* in order of first use */
    size_t pool_count;
    struct cw_departed departed_members;
    struct cw_departed departed_vms;
    cw_ms advanced_to; /* log time, a multiple of ADVANCE_INTERVAL_MS, to which
                        * cw_state_advance has brought the history */

    /* Hashes of the last record ids: a ring in log order and an
     * open-addressing hash set of the same values, 0 = empty slot. */
    uint64_t seen_ring[CW_SEEN_IDS];
    size_t seen_first;
    size_t seen_count;
    uint64_t seen_set[2 * CW_SEEN_IDS];

    /* Document whose text is being imported, NULL for none, and the bytes of
     * its text imported so far. */
    struct cw_doc_entry *import_doc;
    size_t import_len;
};

/* Returns p, the result of an allocation; aborts the process when it is NULL,
 * for the reason given at cw_state_apply. */
void *cw_check_alloc(void *p);
/* Reallocates a list of count pointers, if necessary, so that one more fits.
 * Returns the list; aborts the process when out of memory. */
void *cw_list_grow(void *list, size_t count);

/* Adds an entry to a map; aborts the process when out of memory. */
void cw_index_put(struct cw_map *m, void *entry);

/* The index of a state, created on first use. */
struct cw_state_index *cw_index_get(struct cw_state *s);
/* Returns the entry of a pool, created on first use. */
struct cw_pool_entry *cw_index_pool(struct cw_state *s, struct cw_str pool);
/* The entry of the pool of a scope pool/<name>, NULL when there is none. */
struct cw_pool_entry *cw_index_scope_pool(const struct cw_state *s,
                                          struct cw_str scope);

/* Adds the hash of a record id and drops the oldest one beyond CW_SEEN_IDS.
 * Returns false when the hash was in the set already. */
bool cw_seen_add(struct cw_state_index *x, uint64_t hash);
/* Hash of a record id, never 0. */
uint64_t cw_seen_hash(struct cw_str id);

/* Add an entry to its list, in sorted order if the list is sorted and else at
 * the end, and to the maps. The state owns the entry afterwards. */
void cw_state_add_doc(struct cw_state *s, struct cw_doc_entry *e);
void cw_state_add_vm(struct cw_state *s, struct cw_vm_entry *e);
/* Removes the VM from the state and frees its entry. */
void cw_state_remove_vm(struct cw_state *s, struct cw_vm_entry *e);
void cw_state_add_op(struct cw_state *s, struct cw_op_entry *e);
void cw_state_add_wave(struct cw_state *s, struct cw_wave_entry *e);
void cw_state_add_edit(struct cw_state *s, struct cw_edit_entry *e);
void cw_state_add_stat(struct cw_state *s, struct cw_rec_stat *e);
/* Copies *e into the list of members. */
void cw_state_add_member(struct cw_state *s, const struct cw_member_entry *e);
/* Records that this incarnation is the last one under the name. */
void cw_departed_add(struct cw_departed *d, const struct cw_name *name,
                     uint64_t incarnation);
/* The last incarnation under the name, 0 when it is not known. */
uint64_t cw_departed_incarnation(const struct cw_departed *d,
                                 const struct cw_name *name);
/* Makes e the document of its pool. */
void cw_state_link_doc(struct cw_state *s, struct cw_doc_entry *e);

#endif
