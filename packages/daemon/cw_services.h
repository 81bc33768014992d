/* Services with their queues and routes, and the slot table. */
#ifndef CW_SERVICES_H
#define CW_SERVICES_H

#include "cw_request.h"
#include "cw_runners.h"

struct cw_service {
    struct cw_name service;
    struct cw_name pool;
    bool in_force; /* has a document */
    bool kicking;  /* its queue is being served */
    struct cw_route route;
    struct cw_admit queue;
    struct cw_retry retry;
};

struct cw_dispatch {
    struct cw_daemon *d;
    struct cw_slots slots;
    size_t count;
    struct cw_service **items;
};

struct cw_service *cw_services_find(const struct cw_daemon *d,
                                    struct cw_str service);
struct cw_service *cw_services_of_pool(const struct cw_daemon *d,
                                       struct cw_str pool);

#endif
