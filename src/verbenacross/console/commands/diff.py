"""The command ``diff``."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import cappa

from ..command import SettingsCommand
from ..command_result import CommandResult
from ..exceptions import CommandError
from ..exit_code import ExitCode
from ..write_command import build_not_found_result

if TYPE_CHECKING:
    from ...policy import Policy
    from ..store_session import StoreSession

VERSION_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}/[1-9][0-9]*")


@cappa.command(name="diff")
@dataclass(kw_only=True)
class DiffCommand(SettingsCommand):
    """Compare two policies field by field, with defaults filled in.

    An operand is a policy file or SERVICE/VERSION in the store; write ./a/1 for a file
    with such a name. A single file is compared with the version in the store that it
    would replace. Exit code 0 if the policies are equal, 1 if they differ.
    """

    first: Annotated[str, cappa.Arg(value_name="OLD", help="File or SERVICE/VERSION.")]
    second: Annotated[
        str | None,
        cappa.Arg(
            value_name="NEW", help="File or SERVICE/VERSION.", show_default=False
        ),
    ] = None

    async def run(self) -> CommandResult:
        """Loads both operands and compares them."""
        from ..policy_fields import find_changes, to_document
        from ..store_session import open_session

        async with open_session(self.settings) as session:
            old_name, new_name = self._resolve_operands()
            old = await load_operand(session, old_name)
            new = await load_operand(session, new_name)
        changes = find_changes(to_document(old), to_document(new))
        lines = [
            f"{change.path}: {json.dumps(change.old)} -> {json.dumps(change.new)}"
            for change in changes
        ]
        data = {
            "old": old_name,
            "new": new_name,
            "changes": [change._asdict() for change in changes],
        }
        code = ExitCode.DIFFERENT if changes else ExitCode.OK
        return CommandResult(code, "\n".join(lines) or "no differences", data)

    def _resolve_operands(self) -> tuple[str, str]:
        if self.second is not None:
            return self.first, self.second
        from ..policy_file import read_policy_file

        policy = read_policy_file(self.first).policy
        return f"{policy.service}/{policy.version}", self.first


async def load_operand(session: StoreSession, operand: str) -> Policy:
    """Loads a policy from a file or from the store.

    Raises ``CommandError`` if it is missing or invalid.
    """
    from ...policy.policy_record import POLICY_PREFIX
    from ..policy_file import read_policy_file
    from ..store_session import build_invalid_result
    from ..stored_policy import StoredPolicy

    if VERSION_PATTERN.fullmatch(operand) is None:
        return read_policy_file(operand).policy
    key = POLICY_PREFIX + operand
    value = await session.store.get(key)
    if value is None or value.value is None:
        raise CommandError(build_not_found_result(key))
    record = StoredPolicy.from_body(key, value.revision, value.value)
    if record.policy is None:
        raise CommandError(build_invalid_result(record.findings))
    return record.policy
