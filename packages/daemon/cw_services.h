/* Services with their queues, routes and retry budgets, and the slot table. */
#ifndef CW_SERVICES_H
#define CW_SERVICES_H

#include "cw_request.h"
#include "cw_runners.h"

struct cw_service {
    struct cw_name service;
    struct cw_name pool;
    bool has_doc;
    bool serving; /* inside serve_queue */
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
struct cw_service *cw_services_find_by_pool(const struct cw_daemon *d,
                                            struct cw_str pool);

#endif
