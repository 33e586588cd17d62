"""Base class of the commands that write a policy record."""

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
    """Base class of the commands that write a policy record by compare-and-swap."""

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
        cappa.Arg(long=True, help="Timeout of --wait, in milliseconds."),
    ] = DEFAULT_WAIT_TIMEOUT_MS

    def require_agents_for_wait(self, session: StoreSession) -> None:
        """Raises ``CommandError`` if ``--wait`` is set but no agent is configured."""
        if not self.wait or session.settings.agents:
            return
        from ..settings import Finding
        from .store_session import build_invalid_result

        finding = Finding(
            self.settings, "$.agents", "--wait requires at least one agent"
        )
        raise CommandError(build_invalid_result((finding,)))

    def check_expected_revision(self, current: CurrentRecord) -> None:
        """Raises ``CommandError`` unless the revision equals that of ``--expect``."""
        if self.expect is None or self.expect == current.revision:
            return
        raise CommandError(
            build_conflict_result(current.key, self.expect, current.revision)
        )

    async def write_record(
        self, writer: RecordWriter, body: bytes, current: CurrentRecord
    ) -> int:
        """Writes the record and returns its revision.

        Raises ``CommandError`` unless the store accepted the write.
        """
        from ..infrastructure.exceptions import StoreConflictError

        key = current.key
        try:
            return await writer.write(body, current)
        except StoreConflictError as error:
            result = build_conflict_result(key, error.expected, error.current)
            raise CommandError(result) from error
        except WriteRefusedError as error:
            text = f"{key}: the store refused the write: {error}"
            data = {"key": key, "error": str(error), "written": False}
            raise CommandError(CommandResult(ExitCode.REFUSED, text, data)) from error
        except OutcomeUnknownError as error:
            text = (
                f"{key}: unknown whether the write took effect, no conclusive response "
                f"from the store ({error}); check with 'verbenacross show' once it is "
                "reachable"
            )
            data = {"key": key, "error": str(error), "written": None}
            raise CommandError(CommandResult(ExitCode.UNKNOWN, text, data)) from error

    async def finish_write(
        self, session: StoreSession, text: str, data: dict[str, Any], revision: int
    ) -> CommandResult:
        """Builds the result of an accepted write; waits first if ``--wait`` is set.

        Agents report what is in force by era and revision.
        """
        if not self.wait:
            return CommandResult(ExitCode.OK, text, data)
        from ..infrastructure.key_value_store import StorePosition
        from .in_force_waiter import InForceWaiter
        from .status_reader import StatusReader

        reader = StatusReader(session.http, session.settings)
        awaited = StorePosition(session.store.era, revision).pack()
        wait_result = await InForceWaiter(reader, self.wait_timeout_ms).wait(awaited)
        serving = wait_result.status.get_serving_members() if wait_result.status else []
        lagging = (
            wait_result.status.get_lagging_members(awaited)
            if wait_result.status
            else []
        )
        data = data | {
            "in_force": wait_result.in_force,
            "waited_ms": wait_result.waited_ms,
            "live_members": len(serving),
            "lagging_members": [member.instance for member in lagging],
        }
        code = ExitCode.OK if wait_result.in_force else ExitCode.NOT_IN_FORCE
        return CommandResult(code, f"{text}; {wait_result.describe(awaited)}", data)


def build_conflict_result(key: str, expected: int, current: int) -> CommandResult:
    """Builds the result for a write that lost against another write."""
    text = (
        f"{key}: conflict with another write: expected revision {expected}, "
        f"current revision {current}; nothing was written"
    )
    data = {"key": key, "expected_revision": expected, "current_revision": current}
    return CommandResult(ExitCode.CONFLICT, text, data | {"written": False})


def build_retired_result(key: str, revision: int) -> CommandResult:
    """Builds the result for a version that was retired and cannot be written again."""
    text = f"{key}: retired at revision {revision}; write a new version instead"
    data = {"key": key, "revision": revision, "written": False}
    return CommandResult(ExitCode.RETIRED, text, data)


def build_not_found_result(key: str) -> CommandResult:
    """Builds the result for a record that is not in the store."""
    return CommandResult(ExitCode.NOT_FOUND, f"{key}: not in the store", {"key": key})
