"""Command-line interface that prints the state dump of a process."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from .. import __version__
from .exit_code import ExitCode
from .help_output import build_output

HTTP_OK = 200
MS_PER_S = 1_000


@cappa.command(name="verbenacross-dump")
@dataclass
class DumpApplication:
    """Print the state dump of an entry or agent as JSON.

    Exit codes: 2 invalid address, 6 no response, 9 the response is not a state dump.
    """

    address: Annotated[
        str, cappa.Arg(help="Admin address of the process, for example 127.0.0.1:7003.")
    ]
    compact: Annotated[
        bool,
        cappa.Arg(long=True, help="Print the dump on one line.", show_default=False),
    ] = False
    timeout_ms: Annotated[
        int, cappa.Arg(long=True, help="Timeout for the response, in milliseconds.")
    ] = 5_000


async def fetch_dump(arguments: DumpApplication) -> tuple[ExitCode, str]:
    """Fetches the state dump; returns the exit code with the dump or an error."""
    import aiohttp

    from ..settings import Address

    try:
        address = Address.from_text(arguments.address)
    except ValueError as error:
        return ExitCode.INVALID, str(error)
    url = f"http://{address}/state"
    timeout = aiohttp.ClientTimeout(total=arguments.timeout_ms / MS_PER_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as response,
        ):
            body = await response.read()
            status = response.status
    except (TimeoutError, aiohttp.ClientError, OSError) as error:
        return ExitCode.UNREACHABLE, f"{url}: {error!r}"
    return format_dump(url, status, body, arguments.compact)


def format_dump(
    url: str, status: int, body: bytes, compact: bool
) -> tuple[ExitCode, str]:
    """Formats the state dump in a response, or describes why it contains none."""
    try:
        state = json.loads(body) if status == HTTP_OK else None
    except ValueError:
        state = None
    if not isinstance(state, dict):
        return (
            ExitCode.REFUSED,
            f"{url}: response with status {status} is not a state dump",
        )
    if compact:
        return ExitCode.OK, json.dumps(state, separators=(",", ":"))
    return ExitCode.OK, json.dumps(state, indent=2)


def main() -> None:
    """Prints a state dump, or an error to standard error, and exits."""
    arguments = cappa.parse(DumpApplication, version=__version__, output=build_output())
    code, text = asyncio.run(fetch_dump(arguments))
    print(text, file=sys.stdout if code is ExitCode.OK else sys.stderr)
    sys.exit(int(code))


if __name__ == "__main__":
    main()
