"""The command ``apply``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import cappa

from ..command_result import CommandResult
from ..exceptions import CommandError
from ..write_command import WriteCommand, build_retired_result

if TYPE_CHECKING:
    from ..policy_file import PolicyFile
    from ..store_session import StoreSession


@cappa.command(name="apply")
@dataclass(kw_only=True)
class ApplyCommand(WriteCommand):
    """Write a policy file to the store.

    Succeeds only if the store accepted the record. Exit codes: 2 invalid file, 3
    conflict with another write, 4 the version is retired, 6 store unreachable and
    nothing written, 7 unknown whether it was written, 8 accepted but not in force on
    all live members within the timeout (--wait), 9 refused by the store.
    """

    file: Annotated[str, cappa.Arg(help="JSON policy file.")]

    async def run(self) -> CommandResult:
        """Validates the file and writes it to the store."""
        from ..policy_file import read_policy_file
        from ..store_session import open_session

        policy_file = read_policy_file(self.file)
        async with open_session(self.settings) as session:
            self.require_agents_for_wait(session)
            return await self._apply(session, policy_file)

    async def _apply(
        self, session: StoreSession, policy_file: PolicyFile
    ) -> CommandResult:
        from ..record_writer import RecordWriter
        from ..stored_policy import find_retired_revision

        key = policy_file.key
        writer = RecordWriter(session.store, session.settings.timeout_ms)
        current = await writer.read(key)
        retired_at = await find_retired_revision(session.store, current)
        if retired_at is not None:
            raise CommandError(build_retired_result(key, retired_at))
        self.check_expected_revision(current)
        if current.body == policy_file.body:
            text = f"{key}: unchanged at revision {current.revision}"
            data = {"key": key, "revision": current.revision, "written": False}
            return await self.finish_write(session, text, data, current.revision)
        revision = await self.write_record(writer, policy_file.body, current)
        text = f"{key}: accepted at revision {revision}"
        data = {"key": key, "revision": revision, "written": True}
        data["previous_revision"] = current.revision
        return await self.finish_write(session, text, data, revision)
