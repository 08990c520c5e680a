"""Runs the command line in subprocesses, also against running entries."""

import asyncio
import pathlib
import subprocess
import sys

import aiohttp
import pytest

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.utils import loops

ROOT = pathlib.Path(__file__).parents[4]
EXAMPLES = sorted((ROOT / "examples").glob("*/*.*"))
TIMEOUT_S = 60

SETTINGS = """
[entry]
name = "e"
caller_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
[platform]
objects_address = "127.0.0.1:1"
instances_address = "127.0.0.1:1"
"""


def run_program(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "fuchsiabarrow", *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@pytest.mark.parametrize("example", EXAMPLES, ids=lambda p: p.parent.name)
def test_examples_are_valid(example):
    result = run_program("check", str(example))
    assert (result.returncode, result.stderr) == (0, "")


def test_both_users_have_examples():
    assert {p.parent.name for p in EXAMPLES} == {"shelfwright", "sertao"}
    assert len(EXAMPLES) == 4


@pytest.mark.parametrize(
    ("name", "content", "parts"),
    [
        ("a.toml", "[entry", ["TOML"]),
        ("a.toml", "", ["entry", "docs/settings.md"]),
        (
            "a.toml",
            SETTINGS + "[streams]\nattempts = 'x'\n",
            ["$.streams.attempts", "int"],
        ),
        ("a.toml", SETTINGS + "[stream]\n", ["stream"]),
        (
            "a.toml",
            SETTINGS + "[streams]\nlinger_s = 0\n",
            ["$.streams.linger_s", "above 0"],
        ),
        (
            "a.toml",
            SETTINGS.replace("127.0.0.1:1", "store:1"),
            ["$.platform.objects_address", "ip:port"],
        ),
        ("a.toml", SETTINGS + "[logs]\nlevel = 'x'\n", ["$.logs.level"]),
        ("a.json", "{", ["JSON object"]),
        (
            "a.json",
            '{"pipelines": {"p": {"model": "m"}}}',
            ["$.pipelines.p.model", "define it"],
        ),
    ],
)
def test_check_names_file_key_and_remedy(tmp_path, name, content, parts):
    path = tmp_path / name
    path.write_text(content)
    result = run_program("check", str(path))
    assert result.returncode == 2
    assert "Traceback" not in result.stderr
    for part in [str(path), *parts]:
        assert part in result.stderr


def test_missing_file_is_named():
    result = run_program("check", "missing.toml")
    assert result.returncode == 2
    assert "missing.toml" in result.stderr


@pytest.mark.parametrize(
    "command",
    [
        "entry",
        "check",
        "key",
        "settings",
        "show",
        "patch",
        "status",
        "demo",
        "standin-objects",
        "standin-instances",
        "standin-service",
        "standin-engine",
    ],
)
def test_each_command_has_help(command):
    result = run_program(command, "--help")
    assert result.returncode == 0
    assert f"usage: fuchsiabarrow {command}" in result.stdout
    version = run_program(command, "--version")
    assert version.returncode == 0
    assert version.stdout.startswith("fuchsiabarrow 0.")


def test_printed_settings_page_equals_the_page_in_docs():
    result = run_program("settings")
    page = (ROOT / "docs" / "settings.md").read_text()
    assert result.stdout == page
    assert all(not line.endswith("|  |") for line in page.splitlines())


def test_version_is_printed():
    assert run_program("--version").stdout.startswith("fuchsiabarrow 0.")


def test_operator_commands_show_patch_and_print_the_status(fleet, tmp_path):
    entries = ("entry-1", "entry-2")
    key = tmp_path / "key"
    key.write_text(clusters.OPERATOR_KEY)
    change = tmp_path / "change.json"
    change.write_text('{"pipelines": {"letters": {"model": "joinery-12"}}}')

    async def start():
        async with aiohttp.ClientSession() as session:
            await process_fleets.start_fleet(session, fleet, (), entries)

    loops.run(start())
    first, second = (fleet.processes[n].operator_address for n in entries)
    patch = ["patch", str(change), "--operator", first, "--key-file", str(key)]
    wait = ["--wait", first, second]
    accepted = run_program(*patch, "--against", "1", *wait)
    assert accepted.returncode == 0, accepted.stderr
    assert "accepted 2" in accepted.stdout
    assert accepted.stdout.count("in force at") == 2
    refused = run_program(*patch, "--against", "1")
    assert refused.returncode == 2
    assert "configuration 2 is in force" in refused.stderr
    shown = run_program("show", "--operator", second, "--key-file", str(key))
    assert "letters" in shown.stdout
    assert "number 2" in shown.stderr
    change.write_text('{"pipelines": {"letters": null}}')
    accepted = run_program(*patch, "--against", "2", "--wait-all")
    assert accepted.returncode == 0, accepted.stderr
    assert accepted.stdout.count("in force at") == 2
    status = run_program(
        "status", "--operator", first, second, "--key-file", str(key)
    )
    assert status.stdout.count('"configuration": 3') == 2


def test_demo_reports_that_every_guarantee_held():
    result = run_program("demo")
    assert result.returncode == 0, result.stdout + result.stderr
    answers, guarantees = result.stdout.strip().split("\n\n")
    rows = guarantees.splitlines()[1:]
    assert len(rows) >= 6
    assert all(row.startswith("  held") for row in rows)
    rows = answers.splitlines()[1:]
    assert len(rows) >= 16
    assert all("  complete  as expected  " in row for row in rows)


def test_demo_fails_if_a_guarantee_does_not_hold(monkeypatch, capsys):
    from fuchsiabarrow.commands import demo

    monkeypatch.setattr(
        demo,
        "_compute_expected_tokens",
        lambda text, tokens: ["another answer"],
    )
    assert loops.run(demo.run(hold=False)) == 1
    assert "FAILED" in capsys.readouterr().out


def test_entry_exits_with_a_message_if_its_address_is_in_use(tmp_path):
    async def check():
        async def refuse(reader, writer):
            writer.close()

        server = await asyncio.start_server(refuse, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        path = tmp_path / "entry.toml"
        text = SETTINGS.replace(
            'caller_address = "127.0.0.1:0"',
            f'caller_address = "127.0.0.1:{port}"',
        )
        path.write_text(text)
        result = await asyncio.get_running_loop().run_in_executor(
            None, run_program, "entry", "--settings", str(path)
        )
        server.close()
        assert result.returncode == 2
        assert "Traceback" not in result.stderr
        assert f"127.0.0.1:{port}" in result.stderr

    loops.run(check())
