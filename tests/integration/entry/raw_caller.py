"""Caller that writes raw bytes, for requests that HTTP libraries do not send."""

from __future__ import annotations

import http.client
import socket
import time


class RawCaller:
    """Caller with one connection."""

    def __init__(self, port: int, timeout_s: float = 10.0) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout_s)

    def __enter__(self) -> RawCaller:
        return self

    def __exit__(self, *exception: object) -> None:
        self.socket.close()

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def read_response(self, method: str = "GET") -> tuple[int, dict[str, str], bytes]:
        """Returns status, headers and body; raises if the response is incomplete."""
        response = http.client.HTTPResponse(self.socket, method=method)
        response.begin()
        body = response.read()
        return response.status, dict(response.getheaders()), body

    def read_until_closed(self) -> bytes:
        received = b""
        while data := self.socket.recv(65_536):
            received += data
        return received

    def is_closed(self, timeout_s: float = 2.0) -> bool:
        """Returns whether the peer closes the connection within ``timeout_s``."""
        self.socket.settimeout(timeout_s)
        try:
            return self.socket.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True


def build_request(
    path: str, method: str = "GET", body: bytes = b"", **headers
) -> bytes:
    """Builds a request; replaces ``_`` in header names by ``-``."""
    lines = [f"{method} {path} HTTP/1.1", "Host: work"]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_rss_bytes(pid: int) -> int:
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * 4_096


def wait_for(condition, timeout_s: float = 3.0) -> bool:
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(0.02)
    return False
