"""The command ``status``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import cappa

from ..command import SettingsCommand
from ..command_result import CommandResult
from ..exceptions import AgentUnreachableError, CommandError
from ..exit_code import ExitCode

if TYPE_CHECKING:
    from ..fleet_status import FleetStatus


@cappa.command(name="status")
@dataclass(kw_only=True)
class StatusCommand(SettingsCommand):
    """Show which store revision each instance has in force.

    Queries the agents in the settings in order; the first that responds reports on all
    members. Exit code 6 if none responds.
    """

    async def run(self) -> CommandResult:
        """Reads and prints the status."""
        from ..status_reader import StatusReader
        from ..store_session import open_session

        async with open_session(self.settings) as session:
            try:
                status = await StatusReader(session.http, session.settings).read()
            except AgentUnreachableError as error:
                text = f"no agent responded: {error}"
                result = CommandResult(
                    ExitCode.UNREACHABLE, text, {"error": str(error)}
                )
                raise CommandError(result) from error
        data = status._asdict() | {
            "members": [member._asdict() for member in status.members]
        }
        return CommandResult(ExitCode.OK, format_status(status), data)


def format_status(status: FleetStatus) -> str:
    """Formats the status as a table, followed by the findings."""
    from ...infrastructure.key_value_store import StorePosition
    from ..tables import format_table

    rows = [
        [
            member.instance,
            member.failure_domain or "-",
            member.state,
            str(StorePosition.unpack(member.in_force)),
            "yes" if member.in_force >= status.watermark else "no",
        ]
        for member in sorted(status.members)
    ]
    header = ["INSTANCE", "FAILURE DOMAIN", "STATE", "IN FORCE", "CURRENT"]
    position = StorePosition.unpack(status.watermark)
    lines = [f"as seen by {status.instance}, store revision {position}"]
    lines.append(format_table(header, rows))
    lines += [f"finding: {finding}" for finding in status.findings]
    return "\n".join(lines)
