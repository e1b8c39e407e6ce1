"""A toy exam terminal: keeps a connection through the proxy, and comes again when it is told to move."""

from __future__ import annotations

import contextlib
import random
import socket
import sys
import time

PROXY = ("127.0.0.1", 8080)


def visit(key: str, again: bool) -> None:
    """Open one connection and talk on it until it ends."""
    with socket.create_connection(PROXY, timeout=10) as sock:
        lines = sock.makefile("rb")
        fields = "c=question,d=2000,g=1" + (",again=1" if again else "")
        sock.sendall(f"OPEN {random.getrandbits(64):016x} {key} {fields}\r\n".encode())
        answer = lines.readline().decode().strip()
        print(answer)
        number = 0
        while answer.startswith(("UP", "echo")):
            time.sleep(2)
            number += 1
            sock.sendall(f"question {number}\r\n".encode())
            answer = lines.readline().decode().strip()
            print(answer or "(end)")


def main() -> None:
    """Come again until interrupted."""
    key = f"{random.getrandbits(64):016x}"
    again = False
    while True:
        try:
            visit(key, again)
        except OSError as error:
            print(error, file=sys.stderr)
        again = True
        time.sleep(0.5)


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        main()
