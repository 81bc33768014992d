/* Hash lookups of the replicated state and the memory of seen record ids. */
#ifndef CW_INDEX_H
#define CW_INDEX_H

#include "cw_map.h"

struct cw_pool_entry {
    struct cw_name pool;
    size_t vms;
    struct cw_doc_entry *doc;   /* NULL while no document names the pool */
    struct cw_wave_entry *wave; /* open wave or NULL */
};

/* Daemons or VMs kept after they left, oldest dropped first. At 520
 * replacements of VMs a day this covers about 2 days, while the platform's VM
 * list lags by minutes at most. */
#define CW_DEPARTED_MAX 1024

/* Last incarnations of daemons or VMs that are no longer in the state. A late
 * record of such an incarnation must not bring it back. */
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
    struct cw_departed members_gone;
    struct cw_departed vms_gone;
    cw_ms tick; /* log time up to which cw_state_advance has worked */

    /* Hashes of the last record ids: a ring in order of arrival and an open
     * addressing set over the same values, 0 = free slot. */
    uint64_t seen_ring[CW_SEEN_IDS];
    size_t seen_first;
    size_t seen_count;
    uint64_t seen_set[2 * CW_SEEN_IDS];

    /* Document whose text is being imported. */
    struct cw_doc_entry *import_doc;
    size_t import_len;
};

/* Memory or the end of the process; see cw_state_apply. */
void *cw_need(void *p);
/* Makes room for one more pointer in a list. */
void *cw_list_grow(void *list, size_t count);

/* Adds to a map, or ends the process. */
void cw_index_put(struct cw_map *m, void *entry);

struct cw_state_index *cw_index(struct cw_state *s);
/* Returns the entry of a pool, made on first use. */
struct cw_pool_entry *cw_index_pool(struct cw_state *s, struct cw_str pool);
/* The pool of a scope pool/<name>, NULL when unknown. */
struct cw_pool_entry *cw_index_scope(const struct cw_state *s,
                                     struct cw_str scope);

/* False when the hash is among the last CW_SEEN_IDS ones. */
bool cw_seen_add(struct cw_state_index *x, uint64_t hash);
uint64_t cw_seen_hash(struct cw_str id);

/* Insert an entry into the sorted list or at the end, and into the maps. The
 * state owns the entry afterwards. */
void cw_state_add_doc(struct cw_state *s, struct cw_doc_entry *e);
void cw_state_add_vm(struct cw_state *s, struct cw_vm_entry *e);
/* Takes the VM out of the state and frees it. */
void cw_state_remove_vm(struct cw_state *s, struct cw_vm_entry *e);
void cw_state_add_op(struct cw_state *s, struct cw_op_entry *e);
void cw_state_add_wave(struct cw_state *s, struct cw_wave_entry *e);
void cw_state_add_edit(struct cw_state *s, struct cw_edit_entry *e);
void cw_state_add_stat(struct cw_state *s, struct cw_rec_stat *e);
void cw_state_add_member(struct cw_state *s, const struct cw_member_entry *e);
void cw_departed_add(struct cw_departed *d, const struct cw_name *name,
                     uint64_t incarnation);
/* The last incarnation under that name, 0 when it is not known. */
uint64_t cw_departed_last(const struct cw_departed *d,
                          const struct cw_name *name);
/* Sets doc as the document of its pool. */
void cw_state_link_doc(struct cw_state *s, struct cw_doc_entry *e);

#endif
