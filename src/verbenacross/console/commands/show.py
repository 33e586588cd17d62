"""The command ``show``."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from ..command import SettingsCommand
from ..command_result import CommandResult
from ..exceptions import CommandError
from ..exit_code import ExitCode
from ..write_command import build_not_found_result


@cappa.command(name="show")
@dataclass(kw_only=True)
class ShowCommand(SettingsCommand):
    """Print a policy version as stored.

    With --effective, all fields are printed, with defaults filled in. Exit code 5 if
    the version is not in the store.
    """

    service: Annotated[str, cappa.Arg(help="Service of the policy.")]
    version: Annotated[int, cappa.Arg(help="Version of the policy.")]
    effective: Annotated[
        bool, cappa.Arg(long=True, help="Fill in the defaults.", show_default=False)
    ] = False

    async def run(self) -> CommandResult:
        """Reads and prints the record."""
        from ...policy.policy_record import build_key
        from ..store_session import open_session
        from ..stored_policy import StoredPolicy

        key = build_key(self.service, self.version)
        async with open_session(self.settings) as session:
            value = await session.store.get(key)
        if value is None or value.value is None:
            raise CommandError(build_not_found_result(key))
        record = StoredPolicy.from_body(key, value.revision, value.value)
        document = self._build_document(record)
        data = record.build_summary() | {"record": document}
        lines = [f"{key}: {record.get_state()} at revision {record.revision}"]
        lines += [str(finding) for finding in record.findings]
        lines.append(
            document if isinstance(document, str) else json.dumps(document, indent=2)
        )
        return CommandResult(ExitCode.OK, "\n".join(lines), data)

    def _build_document(self, record: Any) -> Any:
        if record.policy is None:
            return record.text
        if not self.effective:
            return json.loads(record.text)
        from ..policy_fields import to_document

        return to_document(record.policy)
