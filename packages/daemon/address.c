#include "cw_modules.h"

#include <string.h>

enum cw_status
cw_address_parse(struct cw_str text, struct sockaddr_storage *sa,
                 socklen_t *len)
{
    char host[64];
    size_t colon = text.len;
    size_t host_len;
    const char *from = text.ptr;
    uint64_t port;
    struct sockaddr_in in4;
    struct sockaddr_in6 in6;

    while (colon > 0 && text.ptr[colon - 1] != ':') {
        colon--;
    }
    if (colon == 0 ||
        !cw_str_to_u64((struct cw_str){text.ptr + colon, text.len - colon},
                       &port) ||
        port > 65535) {
        return CW_ERR_INVALID;
    }
    host_len = colon - 1;
    if (host_len >= 2 && from[0] == '[' && from[host_len - 1] == ']') {
        from++;
        host_len -= 2;
    }
    if (host_len == 0 || host_len >= sizeof(host)) {
        return CW_ERR_INVALID;
    }
    memcpy(host, from, host_len);
    host[host_len] = '\0';
    memset(sa, 0, sizeof(*sa));
    if (uv_ip4_addr(host, (int)port, &in4) == 0) {
        memcpy(sa, &in4, sizeof(in4));
        *len = sizeof(in4);
        return CW_OK;
    }
    if (uv_ip6_addr(host, (int)port, &in6) == 0) {
        memcpy(sa, &in6, sizeof(in6));
        *len = sizeof(in6);
        return CW_OK;
    }
    return CW_ERR_INVALID;
}
