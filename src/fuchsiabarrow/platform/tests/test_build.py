"""The script that builds an entry from the source tree, with a fake Python."""

import os
import pathlib
import shutil
import subprocess

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[4]
ARM = "linux-aarch64 cpython-311"
X86 = "linux-x86_64 cpython-311"
FAKE_PYTHON = """\
#!/bin/sh
case "$*" in
  -c*) echo "$INTERPRETER" ;;
  *pip*) mkdir -p target/deps && echo installed >> installs ;;
esac
"""


@pytest.fixture
def tree(tmp_path):
    """A source tree with an old requirements file."""
    (tmp_path / "deploy").mkdir()
    shutil.copy(ROOT / "deploy/build.sh", tmp_path / "deploy/build.sh")
    requirements = tmp_path / "deploy/requirements.txt"
    requirements.touch()
    os.utime(requirements, (1, 1))
    (tmp_path / "src/fuchsiabarrow").mkdir(parents=True)
    python = tmp_path / "bin/python3"
    python.parent.mkdir()
    python.write_text(FAKE_PYTHON)
    python.chmod(0o755)
    return tmp_path


def count_installs(tree, *interpreters: str) -> int:
    """Builds once for each interpreter; returns how often pip was run."""
    for interpreter in interpreters:
        subprocess.run(
            ["sh", "deploy/build.sh"],
            cwd=tree,
            check=True,
            env={
                "PATH": f"{tree / 'bin'}:{os.environ['PATH']}",
                "INTERPRETER": interpreter,
            },
        )
    return len((tree / "installs").read_text().splitlines())


def test_dependencies_are_installed_once_for_one_interpreter(tree):
    assert count_installs(tree, ARM, ARM) == 1


# Dependencies carried over from another kind of machine were kept: their
# extension modules cannot be loaded.
def test_dependencies_of_another_architecture_are_replaced(tree):
    assert count_installs(tree, X86, ARM) == 2


def test_dependencies_without_a_mark_are_replaced(tree):
    (tree / "target/deps").mkdir(parents=True)
    assert count_installs(tree, ARM) == 1
