"""An IP address with a port."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple

MAX_PORT = 65_535


class Address(NamedTuple):
    """An IP address with a TCP port."""

    host: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> Address:
        """Parses an address such as ``1.2.3.4:80`` or ``[::1]:80``.

        Raises ``ValueError`` if the text is not an IP address with a port.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not port.isascii() or not port.isdigit():
            raise ValueError(f"address {text!r} is not of the form IP:PORT")
        if int(port) > MAX_PORT:
            raise ValueError(f"port {port} is above {MAX_PORT}")
        if host.startswith("[") != host.endswith("]"):
            raise ValueError(f"address {text!r} has an unpaired bracket")
        bare = host.removeprefix("[").removesuffix("]")
        ipaddress.ip_address(bare)
        return cls(bare, int(port))

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"
