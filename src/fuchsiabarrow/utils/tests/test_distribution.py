"""How CI distributes the tests over worker processes."""

import pathlib
import re
import subprocess
import sys

SUBPACKAGES = pathlib.Path(__file__).parents[2]
REAL_TIME_MODULES = (
    "catalogs/tests/test_access.py",
    "commands/tests/test_explanations.py",
    "utils/tests/test_deadlines.py",
)
VIRTUAL_TIME_MODULE = "peers/tests/test_aggregation.py"


def find_workers(*modules: str) -> set[str]:
    result = subprocess.run(
        [
            *(sys.executable, "-m", "pytest", "-vv"),
            *("-n", "3", "--dist", "loadscope"),
            *(str(SUBPACKAGES / module) for module in modules),
        ],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert result.returncode == 0, result.stdout
    return set(re.findall(r"^\[(gw\d+)\]", result.stdout, re.MULTILINE))


# They ran beside each other, in an order that varied, and with it the verdict.
def test_tests_in_real_time_run_one_after_another_in_one_worker():
    assert len(find_workers(*REAL_TIME_MODULES)) == 1


def test_tests_on_virtual_time_are_distributed():
    assert len(find_workers(VIRTUAL_TIME_MODULE)) > 1
