"""Sockets that a server listens on."""

import socket


def bind(address: str, port: int) -> socket.socket:
    """Return a socket that is bound to an address."""
    sock = socket.socket()
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, port))
    except OSError:
        sock.close()
        raise
    return sock
