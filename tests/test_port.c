/* Tests of the ports that tests reserve for the programs that they start. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "port.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* Listens as the programs do; -1 when the port is in use. */
static int
listen_on(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port)};
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert_int_equal(setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)),
                     0);
    if (bind(fd, (struct sockaddr *)&a, sizeof(a)) == 0 &&
        listen(fd, 8) == 0) {
        return fd;
    }
    close(fd);
    return -1;
}

/* "Test setup failed": between the choice of a port and the start of the
 * program that listens on it another program got the same port. */
static void
test_reserved_port(void **state)
{
    int fd = port_reserve(0);
    int port = port_of(fd);

    (void)state;
    assert_true(fd >= 0 && port > 0);
    assert_int_equal(port_reserve(port), -1);
    for (int life = 0; life < 2; life++) { /* a program starts again */
        int listener = listen_on(port);

        assert_true(listener >= 0);
        assert_int_equal(port_reserve(port), -1);
        close(listener);
    }
    for (int i = 0; i < 200; i++) {
        int other = port_reserve(0);

        assert_int_not_equal(port_of(other), port);
        close(other);
    }
    close(fd);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(test_reserved_port)};

    return cmocka_run_group_tests(tests, NULL, NULL);
}
