#include "cw_modules.h"

#include <arpa/inet.h>
#include <string.h>

void
cw_address_of_socket(const uv_tcp_t *tcp, struct cw_name *out)
{
    struct sockaddr_storage sa;
    int len = sizeof(sa);
    char host[INET6_ADDRSTRLEN];
    char text[CW_NAME_MAX + 1];
    int n;

    if (uv_tcp_getsockname(tcp, (struct sockaddr *)&sa, &len) != 0) {
        return;
    }
    if (sa.ss_family == AF_INET6) {
        const struct sockaddr_in6 *in6 = (const struct sockaddr_in6 *)&sa;

        (void)uv_ip6_name(in6, host, sizeof(host));
        n = snprintf(text, sizeof(text), "[%s]:%u", host,
                     ntohs(in6->sin6_port));
    }
    else {
        const struct sockaddr_in *in4 = (const struct sockaddr_in *)&sa;

        (void)uv_ip4_name(in4, host, sizeof(host));
        n = snprintf(text, sizeof(text), "%s:%u", host, ntohs(in4->sin_port));
    }
    (void)cw_name_set(out, (struct cw_str){text, (size_t)n});
}

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
