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
  *compileall*)
    echo compiled >> compilations
    cat target/app/fuchsiabarrow/module.py >> during 2>/dev/null
    mkdir "$4/fuchsiabarrow/__pycache__" ;;
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


def build_versions(tree, *versions: str) -> None:
    """Builds once for each content of the package."""
    for version in versions:
        (tree / "src/fuchsiabarrow/module.py").write_text(version)
        count_installs(tree, ARM)


def read_copy(tree) -> str:
    return (tree / "target/app/fuchsiabarrow/module.py").read_text()


# A build emptied the folder from which processes were starting: they ended with
# import errors.
def test_last_copy_is_complete_until_the_next_one_is_compiled(tree):
    build_versions(tree, "first ", "second ")
    assert (tree / "during").read_text() == "first "
    assert read_copy(tree) == "second "
    assert (tree / "target/app/fuchsiabarrow/__pycache__").exists()
    assert [p.name for p in (tree / "target").glob("app*")] == ["app"]


def test_copy_of_the_same_sources_stays_in_place(tree):
    build_versions(tree, "first ")
    inode = (tree / "target/app").stat().st_ino
    build_versions(tree, "first ")
    assert (tree / "target/app").stat().st_ino == inode
    assert len((tree / "compilations").read_text().splitlines()) == 1


def test_copy_for_another_interpreter_is_replaced(tree):
    build_versions(tree, "first ")
    count_installs(tree, X86)
    assert len((tree / "compilations").read_text().splitlines()) == 2


def test_copy_that_was_not_finished_is_removed(tree):
    unfinished = tree / "target/app.17"
    unfinished.mkdir(parents=True)
    os.utime(unfinished, (1, 1))
    build_versions(tree, "first ")
    assert [p.name for p in (tree / "target").glob("app*")] == ["app"]
