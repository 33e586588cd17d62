"""Start-up, help and completion of the command-line interface."""

import os
import resource
import subprocess
import sys

COMMAND = [sys.executable, "-m", "verbenacross.console.application"]
MAX_HELP_S = 1.0


def run(*arguments, **variables):
    return subprocess.run(
        [*COMMAND, *arguments],
        env=os.environ | {"SHELL": "/bin/bash"} | variables,
        capture_output=True,
        text=True,
        check=False,
    )


def test_help_starts_fast_and_names_every_command():
    """Guards against importing data path modules before the arguments are parsed.

    Measures CPU time, since elapsed time depends on the load of the machine.
    """
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    result = run("--help")
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    assert result.returncode == 0
    for name in (
        "validate",
        "apply",
        "list",
        "show",
        "diff",
        "retire",
        "status",
        "story",
    ):
        assert f"    {name} " in result.stdout
    spent_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    assert spent_s < MAX_HELP_S
    heavy = "import sys; import verbenacross.console.application; "
    heavy += "print([m for m in ('aiohttp', 'reactivex') if m in sys.modules])"
    printed = subprocess.check_output([sys.executable, "-c", heavy], text=True)
    assert printed.strip() == "[]"


def test_completion_script_is_not_wrapped():
    """Guards against a completion script broken by wrapping at the terminal width."""
    result = run("--completion", "generate")
    call = next(line for line in result.stdout.splitlines() if "response=$" in line)
    assert call.endswith("$1 --completion=complete)")
    line = "verbenacross ret"
    completed = run(
        "--completion=complete", COMPLETION_LINE=line, COMPLETION_LOCATION="2"
    )
    assert completed.stdout.startswith("retire:")


def test_wrong_usage_has_the_exit_code_of_invalid_input():
    """Guards against usage errors with the exit code of another outcome."""
    assert run("apply").returncode == 2
    assert run("nosuch").returncode == 2
