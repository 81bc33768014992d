#include "port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

int
port_reserve(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    /* Without SO_REUSEADDR a port that another test reserves is refused. */
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
port_of(int fd)
{
    struct sockaddr_in a = {0};
    socklen_t len = sizeof(a);

    if (getsockname(fd, (struct sockaddr *)&a, &len) != 0) {
        return -1;
    }
    return ntohs(a.sin_port);
}
