"""``story``, and the files of the node in ``validate``."""

from __future__ import annotations

import asyncio
import json

from tests.node.conftest import build_configuration
from verbenacross.console.commands.story import StoryCommand
from verbenacross.console.commands.validate import ValidateCommand
from verbenacross.console.exit_code import ExitCode

LINES = {
    "edge-1": [
        {
            "time": "2",
            "message": "upstream chosen",
            "request_id": "r1",
            "upstream": "u1",
        },
        {"time": "4", "message": "request completed", "request_id": "r1"},
        {"time": "1", "message": "configuration in force", "version": 7},
    ],
    "edge-2": [
        {"time": "3", "message": "upstream ejected", "upstream": "u1"},
        {"time": "5", "message": "configuration in force", "version": 8},
    ],
}


def run(tmp_path, **query):
    files = []
    for name, lines in LINES.items():
        path = tmp_path / f"{name}.log"
        text = "\n".join(json.dumps(line) for line in lines)
        path.write_text(f"not JSON\n{text}\n" + '{"cut')
        files.append(str(path))
    return asyncio.run(StoryCommand(files=files, **query).run())


def get_times(result):
    return [line["time"] for line in result.data["lines"]]


def test_story_of_a_request(tmp_path):
    result = run(tmp_path, request="r1")

    assert result.code == ExitCode.OK
    assert get_times(result) == ["2", "4"]
    assert "edge-1" in result.text


def test_timeline_of_an_upstream_over_instances(tmp_path):
    assert get_times(run(tmp_path, upstream="u1")) == ["2", "3"]


def test_timeline_of_a_version(tmp_path):
    assert get_times(run(tmp_path, version=8)) == ["5"]


def test_no_line_matches(tmp_path):
    assert run(tmp_path, request="none").code == ExitCode.NOT_FOUND


def test_missing_file():
    result = asyncio.run(StoryCommand(files=["/none.log"]).run())

    assert result.code == ExitCode.INVALID
    assert "/none.log" in result.text


def test_validate_checks_the_files_of_the_node_program(tmp_path):
    good = tmp_path / "configuration.json"
    good.write_text(json.dumps(build_configuration(version=3)))
    bad = tmp_path / "bad.json"
    bad.write_text('{"version": -1}')
    settings = tmp_path / "node.json"
    settings.write_text("{}")

    command = ValidateCommand(
        node_settings=[str(settings)], configurations=[str(good), str(bad)]
    )
    result = asyncio.run(command.run())

    assert result.code == ExitCode.INVALID
    assert f"{good}: valid, version 3, 3 routes" in result.text
    assert f"{bad}: $.version" in result.text
    assert f"{settings}: $.instance" in result.text


def test_validate_needs_a_file():
    assert asyncio.run(ValidateCommand().run()).code == ExitCode.INVALID
