"""The command ``retire``."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Annotated

import cappa

from ..command_result import CommandResult
from ..exceptions import CommandError
from ..write_command import WriteCommand, report_missing


@cappa.command(name="retire")
@dataclass(kw_only=True)
class RetireCommand(WriteCommand):
    """Retire a policy version for good.

    Callers that ask for the version get 410; others get the highest other active
    version that serves them. The exit codes are those of apply, and 5 if the store does
    not hold the version.
    """

    service: Annotated[str, cappa.Arg(help="Service of the policy.")]
    version: Annotated[int, cappa.Arg(help="Version of the policy.")]

    async def run(self) -> CommandResult:
        """Marks the record as retired."""
        from ...policy.policy_record import build_key
        from ..record_writer import RecordWriter
        from ..store_session import open_session, report_findings
        from ..stored_policy import StoredPolicy

        key = build_key(self.service, self.version)
        async with open_session(self.settings) as session:
            self.check_wait(session)
            writer = RecordWriter(session.store, session.settings.timeout_ms)
            current = await writer.read(key)
            if current.body is None:
                raise CommandError(report_missing(key))
            record = StoredPolicy.from_body(key, current.revision, current.body)
            if record.policy is None:
                raise CommandError(report_findings(record.findings))
            if record.policy.state == "retired":
                text = f"{key}: already retired at revision {current.revision}"
                data = {"key": key, "revision": current.revision, "written": False}
                return await self.finish(session, text, data, current.revision)
            self.check_expected(current)
            revision = await self.write(writer, mark_retired(current.body), current)
            text = f"{key}: retired at revision {revision}"
            data = {"key": key, "revision": revision, "written": True}
            return await self.finish(session, text, data, revision)


def mark_retired(body: bytes) -> bytes:
    """Returns the record with its state set to ``retired``."""
    return json.dumps(json.loads(body) | {"state": "retired"}, indent=2).encode()
