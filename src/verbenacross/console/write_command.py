"""What the commands that write a policy record have in common."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated, Any

import cappa

from .command import SettingsCommand
from .command_result import CommandResult
from .exceptions import CommandError, OutcomeUnknownError, WriteRefusedError
from .exit_code import ExitCode

if TYPE_CHECKING:
    from .record_writer import CurrentRecord, RecordWriter
    from .store_session import StoreSession

DEFAULT_WAIT_TIMEOUT_MS = 30_000


@dataclass(kw_only=True)
class WriteCommand(SettingsCommand):
    """A command that writes a policy record by compare-and-swap."""

    expect: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help="Write only if the record is at this store revision (0: absent).",
            show_default=False,
        ),
    ] = None
    wait: Annotated[
        bool,
        cappa.Arg(
            short="-w",
            long=True,
            help="Wait until the record is in force on every live member.",
            show_default=False,
        ),
    ] = False
    wait_timeout_ms: Annotated[
        int,
        cappa.Arg(long=True, help="How long --wait waits, in milliseconds."),
    ] = DEFAULT_WAIT_TIMEOUT_MS

    def check_wait(self, session: StoreSession) -> None:
        """Raises ``CommandError`` when there are no agents to wait for."""
        if not self.wait or session.settings.agents:
            return
        from ..settings import Finding
        from .store_session import report_findings

        finding = Finding(self.settings, "$.agents", "--wait needs at least one agent")
        raise CommandError(report_findings((finding,)))

    def check_expected(self, current: CurrentRecord) -> None:
        """Raises ``CommandError`` when the record is not at the expected revision."""
        if self.expect is None or self.expect == current.revision:
            return
        raise CommandError(report_conflict(current.key, self.expect, current.revision))

    async def write(
        self, writer: RecordWriter, body: bytes, current: CurrentRecord
    ) -> int:
        """Writes the record; raises ``CommandError`` unless the store accepted it."""
        from ..infrastructure.exceptions import StoreConflictError

        key = current.key
        try:
            return await writer.write(body, current)
        except StoreConflictError as error:
            result = report_conflict(key, error.expected, error.current)
            raise CommandError(result) from error
        except WriteRefusedError as error:
            text = f"{key}: the store refused the write: {error}"
            data = {"key": key, "error": str(error), "written": False}
            raise CommandError(CommandResult(ExitCode.REFUSED, text, data)) from error
        except OutcomeUnknownError as error:
            text = (
                f"{key}: unknown whether the write took effect, the store did not say "
                f"({error}); use 'verbenacross show' once it answers"
            )
            data = {"key": key, "error": str(error), "written": None}
            raise CommandError(CommandResult(ExitCode.UNKNOWN, text, data)) from error

    async def finish(
        self, session: StoreSession, text: str, data: dict[str, Any], revision: int
    ) -> CommandResult:
        """Returns the result of an accepted write, after the wait if one is asked."""
        if not self.wait:
            return CommandResult(ExitCode.OK, text, data)
        from .force_waiter import ForceWaiter
        from .status_reader import StatusReader

        reader = StatusReader(session.http, session.settings)
        waited = await ForceWaiter(reader, self.wait_timeout_ms).wait(revision)
        serving = waited.status.get_serving() if waited.status else []
        lagging = waited.status.get_lagging(revision) if waited.status else []
        data = data | {
            "in_force": waited.in_force,
            "waited_ms": waited.waited_ms,
            "live_members": len(serving),
            "lagging_members": [member.instance for member in lagging],
        }
        code = ExitCode.OK if waited.in_force else ExitCode.NOT_IN_FORCE
        return CommandResult(code, f"{text}; {waited.describe(revision)}", data)


def report_conflict(key: str, expected: int, current: int) -> CommandResult:
    """Returns the result for a lost race."""
    text = (
        f"{key}: another write came first: expected revision {expected}, "
        f"current revision {current}; nothing was written"
    )
    data = {"key": key, "expected_revision": expected, "current_revision": current}
    return CommandResult(ExitCode.CONFLICT, text, data | {"written": False})


def report_retired(key: str, revision: int) -> CommandResult:
    """Returns the result for a version that is retired for good."""
    text = f"{key}: retired at revision {revision}; write a new version instead"
    data = {"key": key, "revision": revision, "written": False}
    return CommandResult(ExitCode.RETIRED, text, data)


def report_missing(key: str) -> CommandResult:
    """Returns the result for a record that the store does not hold."""
    return CommandResult(ExitCode.NOT_FOUND, f"{key}: not in the store", {"key": key})
