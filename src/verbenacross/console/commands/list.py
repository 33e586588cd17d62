"""The command ``list``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import cappa

from ..command import SettingsCommand
from ..command_result import CommandResult
from ..exit_code import ExitCode

if TYPE_CHECKING:
    from ..stored_policy import StoredPolicy


@cappa.command(name="list")
@dataclass(kw_only=True)
class ListCommand(SettingsCommand):
    """List the policy versions in the store with their state and revision."""

    service: Annotated[
        str | None, cappa.Arg(help="Only versions of this service.", show_default=False)
    ] = None

    async def run(self) -> CommandResult:
        """Reads and lists the records."""
        from ...policy.policy_record import POLICY_PREFIX
        from ..store_session import open_session
        from ..stored_policy import StoredPolicy
        from ..tables import format_table

        prefix = f"{POLICY_PREFIX}{self.service}/" if self.service else POLICY_PREFIX
        async with open_session(self.settings) as session:
            snapshot = await session.store.read_prefix(prefix)
        records = [
            StoredPolicy.from_body(value.key, value.revision, value.value or b"")
            for value in snapshot.values
        ]
        records.sort(key=StoredPolicy.get_sort_key)
        header = ["SERVICE", "VERSION", "STATE", "REVISION", "CALLERS"]
        rows = [
            [
                *record.parse_key(),
                record.get_state(),
                str(record.revision),
                describe_callers(record),
            ]
            for record in records
        ]
        text = format_table(header, rows) if rows else "no policies in the store"
        data = {
            "store_revision": snapshot.revision,
            "policies": [record.build_summary() for record in records],
        }
        return CommandResult(ExitCode.OK, text, data)


def describe_callers(record: StoredPolicy) -> str:
    """Describes which callers a version serves; the first finding if it is invalid."""
    if record.policy is None:
        return str(record.findings[0])
    callers = record.policy.callers
    names = [*callers.names, *(["default"] if callers.default else [])]
    return ", ".join(names) or "by version only"
