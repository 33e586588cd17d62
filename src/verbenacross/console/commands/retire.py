"""The command ``retire``."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Annotated

import cappa

from ..command_result import CommandResult
from ..exceptions import CommandError
from ..write_command import WriteCommand, build_not_found_result


@cappa.command(name="retire")
@dataclass(kw_only=True)
class RetireCommand(WriteCommand):
    """Retire a policy version permanently.

    Callers that request this version get status 410; other callers get the highest
    remaining active version that serves them. Exit codes are those of apply, and 5 if
    the version is not in the store.
    """

    service: Annotated[str, cappa.Arg(help="Service of the policy.")]
    version: Annotated[int, cappa.Arg(help="Version of the policy.")]

    async def run(self) -> CommandResult:
        """Marks the record as retired."""
        from ...policy.policy_record import build_key
        from ..record_writer import RecordWriter
        from ..store_session import build_invalid_result, open_session
        from ..stored_policy import StoredPolicy

        key = build_key(self.service, self.version)
        async with open_session(self.settings) as session:
            self.require_agents_for_wait(session)
            writer = RecordWriter(session.store, session.settings.timeout_ms)
            current = await writer.read(key)
            if current.body is None:
                raise CommandError(build_not_found_result(key))
            record = StoredPolicy.from_body(key, current.revision, current.body)
            if record.policy is None:
                raise CommandError(build_invalid_result(record.findings))
            if record.policy.state == "retired":
                text = f"{key}: already retired at revision {current.revision}"
                data = {"key": key, "revision": current.revision, "written": False}
                return await self.finish_write(session, text, data, current.revision)
            self.check_expected_revision(current)
            revision = await self.write_record(
                writer, mark_retired(current.body), current
            )
            text = f"{key}: retired at revision {revision}"
            data = {"key": key, "revision": revision, "written": True}
            return await self.finish_write(session, text, data, revision)


def mark_retired(body: bytes) -> bytes:
    """Returns a copy of the record with its state set to ``retired``."""
    return json.dumps(json.loads(body) | {"state": "retired"}, indent=2).encode()
