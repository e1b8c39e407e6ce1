"""Starts the real program as a process; the tests play its clients, its instances and discovery."""

from __future__ import annotations

import contextlib
import copy
import http.client
import itertools
import json
import os
import re
import select
import signal
import socket
import struct
import subprocess
import sys
from pathlib import Path
from typing import Any

from larchhaven.testbed.free_ports import find_free_port

PATIENCE = 20.0  # seconds until a test gives up; none measures how long something takes
_numbers = itertools.count()
ROOT = Path(__file__).parent.parent

SETTINGS: dict[str, Any] = {
    "contract": {
        "answer_slack": 20000,
        "ask_within": 1000000,
        "cold": 7100000,
        "cold_from": 0.33,
        "stop_sending_within": 3000000,
        "tip_after": 1500000,
        "tip_multiple": 2.5,
    },
    "discovery": "automatic",
    "family": "conn",
    "index": 0,
    "instances": 1,
    "kinds": ["k"],
    "tick": 5000,
    "family_info": {
        "message_aim": [100000.0, None],
        "mode": "pass",
        "park": 6000000,
        "tells_delay": True,
        "tells_load": True,
        "tenant_quota_connections": [],
        "groups": True,
        "hint": "",
    },
    "parties": [],
    "prices": {"moves": 0.016, "probe": 0.002},
    "weights": "nominal",
    "zone": 0,
    "policy_limits": {
        "cancel": True,
        "connect_timeout": 250000,
        "max_retry_after": 1500000,
        "most_tries": 3,
        "parallel_tries": False,
        "probes": False,
        "retry_after": False,
        "may_tell": True,
    },
    "report": {"fields": ["x0"], "how": "pull"},
    "stages": ["s"],
    "zones": ["here"],
    "services": [
        {
            "aim": 500000,
            "deadline": 2000000,
            "name": name,
            "repeat": "idempotent",
            "stream": True,
            "group": "all",
            "window": 5000000,
            "credit": 1.0,
            "late_worth": 0.0,
        }
        for name in ("chat", "exam")
    ],
}


def listener() -> socket.socket:
    made = socket.create_server(("127.0.0.1", 0))
    made.settimeout(PATIENCE)
    return made


def dial(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


class Wire:
    """One end of a connection, read by lines."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(PATIENCE)
        self.file = sock.makefile("rb")

    def send(self, text: str) -> None:
        self.sock.sendall(text.encode() + b"\r\n")

    def line(self) -> str:
        """Read a line; an end of the connection is the empty string."""
        got = self.file.readline()
        assert not got or got.endswith(b"\r\n")
        return got.decode().removesuffix("\r\n")

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()

    def close(self) -> None:
        self.file.close()
        self.sock.close()


def host(name: str, sock: socket.socket, health: str = "ready", born_ms: int = 0) -> dict[str, Any]:
    return {
        "host": name,
        "dial": dial(sock),
        "site": "here",
        "class": "k",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


class Proxy:
    """The program as a process, with so many instances that the test plays."""

    def __init__(
        self,
        folder: Path,
        servers: int = 2,
        sockets: int = 1024,
        held: bool = False,
        **settings: Any,
    ) -> None:
        self.folder = folder
        self.held = listener() if held else None  # the clients' socket, as a platform holds it
        self.instances = [listener() for _ in range(servers)]
        self.discovery = listener()
        self.configuration = self.config(**settings)
        self.configuration["limits"]["sockets"] = sockets
        if "instances" in settings:
            # The test plays the second proxy; the first one's port is free a moment before it starts.
            self.peer = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.peer.bind(("127.0.0.1", 0))
            self.peer.settimeout(PATIENCE)
            own = f"127.0.0.1:{find_free_port()}"
            self.configuration |= {"peer_listen": own, "peers": [own, dial(self.peer)]}
        self.path = folder / "config.json"
        self.start()

    def beside(self) -> Proxy:
        """Start the next process beside this one; the two share all that a test plays."""
        younger = copy.copy(self)
        younger.start()
        return younger

    def start(self) -> None:
        self.path.write_text(json.dumps(self.configuration))
        environment = {**os.environ, "EDGE_CONFIG": str(self.path), "TMPDIR": str(self.folder)}
        operator = self.folder / "operator.textproto"
        if operator.exists():
            environment["EDGE_OPERATOR"] = str(operator)
        descriptors = [self.held.fileno()] if self.held is not None else []
        if descriptors:
            environment["EDGE_SOCKET_FD"] = str(descriptors[0])
        self.process = subprocess.Popen(
            [sys.executable, "-m", "larchhaven"],
            cwd=ROOT,
            env=environment,
            pass_fds=descriptors,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert self.process.stderr is not None
        found: dict[str, tuple[str, int]] = {}
        while "listens" not in found:
            line = self.process.stderr.readline()
            assert line, "the program did not start"
            if match := re.search(r"(listens|management) at ([\d.]+):(\d+)", line):
                found[match.group(1)] = match.group(2), int(match.group(3))
        self.address, self.management = found["listens"], found["management"]

    def config(self, **settings: Any) -> dict[str, Any]:
        merged = copy.deepcopy(SETTINGS)
        for name, value in settings.items():
            merged[name] = {**merged[name], **value} if isinstance(value, dict) else value
        hosts = [host(f"s{i}", sock) for i, sock in enumerate(self.instances)]
        return {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "discovery": dial(self.discovery),
            "seed": "8c1f30d2",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": merged,
            "known": {"seq": 7, "whole": True, "hosts": hosts},
        }

    def reload(self, text: str) -> None:
        """Replace the configuration and tell the program."""
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def log_line(self) -> str:
        """Wait for the next line of the log."""
        assert self.process.stderr is not None
        return str(self.process.stderr.readline())

    def call(self, method: str, path: str) -> tuple[int, Any]:
        """Call as an operator does; return the status and the answer."""
        with contextlib.closing(
            http.client.HTTPConnection(*self.management, timeout=PATIENCE)
        ) as caller:
            caller.request(method, path)
            answer = caller.getresponse()
            return answer.status, json.loads(answer.read())

    def client(self, text: str | None = None) -> Wire:
        wire = Wire(socket.create_connection(self.address))
        if text is not None:
            wire.send(text)
        return wire

    def accept(self, *listeners: socket.socket) -> Wire:
        """Take the next connection at any of the instances."""
        ready, _, _ = select.select(listeners or self.instances, [], [], PATIENCE)
        assert ready, "no connection came"
        return Wire(ready[0].accept()[0])

    def opened(self, fields: str = "c=chat,d=2000,g=ab") -> tuple[Wire, Wire]:
        """Bring up a connection; return the client's and the instance's end."""
        client = self.client(opening(fields))
        instance = self.accept()
        assert instance.line().startswith("OPEN ")
        instance.send("UP r1")
        assert client.line() == "UP r1"
        return client, instance

    def close(self) -> str:
        """End the program and return the rest of its log."""
        self.process.kill()
        _, log = self.process.communicate()
        for sock in (*self.instances, self.discovery):
            sock.close()
        return str(log)


def answer_watch(wire: Wire, body: str, status: str = "200 OK") -> str:
    """Answer the next call to discovery; return its first line."""
    request = wire.line()
    while wire.line():
        pass
    wire.sock.sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
    return request


def opening(fields: str) -> str:
    """Write a first line with an id that no other has."""
    return f"OPEN 9b1f03aa{next(_numbers):08x} 7f3a9c21e0b4d655 {fields}"
