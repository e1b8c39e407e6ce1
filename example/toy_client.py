"""A toy client: keeps a connection through the proxy; reconnects on its end or a migration."""

from __future__ import annotations

import contextlib
import random
import socket
import sys
import time

PROXY_ADDRESS = ("127.0.0.1", 8080)
CONNECT_TIMEOUT_S = 10
MESSAGE_INTERVAL_S = 2
RECONNECT_DELAY_S = 0.5


def keep_connection(client_key: str, *, is_reconnect: bool) -> None:
    """Open one connection and exchange messages on it until it ends.

    Args:
        client_key: Identity of this client, the same on all its connections.
        is_reconnect: Whether this client was connected before.

    Raises:
        OSError: The connection failed.
    """
    with socket.create_connection(PROXY_ADDRESS, timeout=CONNECT_TIMEOUT_S) as connection:
        lines = connection.makefile("rb")
        request_id = f"{random.getrandbits(64):016x}"
        options = "c=question,d=2000,g=1" + (",again=1" if is_reconnect else "")
        connection.sendall(f"OPEN {request_id} {client_key} {options}\r\n".encode())
        answer = lines.readline().decode().strip()
        print(answer)
        number = 0
        while answer.startswith(("UP", "echo")):
            time.sleep(MESSAGE_INTERVAL_S)
            number += 1
            connection.sendall(f"question {number}\r\n".encode())
            answer = lines.readline().decode().strip()
            print(answer or "(end)")


def main() -> None:
    """Reconnect until interrupted."""
    client_key = f"{random.getrandbits(64):016x}"
    is_reconnect = False
    while True:
        try:
            keep_connection(client_key, is_reconnect=is_reconnect)
        except OSError as error:
            print(error, file=sys.stderr)
        is_reconnect = True
        time.sleep(RECONNECT_DELAY_S)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
