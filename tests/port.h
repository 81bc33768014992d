/* Ports of the loopback address for programs that a test starts. */
#ifndef TEST_PORT_H
#define TEST_PORT_H

/* Reserves a port, 0 for any: until the socket is closed no other program gets
 * it, but a listener with SO_REUSEADDR, such as libuv's, may open on it.
 * Returns the socket, or -1 when the port is in use. */
int port_reserve(int port);
/* The port that a socket has. */
int port_of(int fd);

#endif
