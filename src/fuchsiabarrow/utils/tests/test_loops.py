import subprocess
import sys

import pytest

PROGRAM = """
import io, sys
from fuchsiabarrow.utils import loops
async def answer():
    return 7
sys.stderr = {stderr}
print(loops.run(answer()), sys.stderr is None or type(sys.stderr).__name__)
"""


# A process whose standard error is closed or replaced, such as by a test, did
# not start.
@pytest.mark.parametrize(
    ("stderr", "unchanged"), [("None", "True"), ("io.StringIO()", "StringIO")]
)
def test_loop_runs_without_a_standard_error_that_is_a_file(stderr, unchanged):
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(stderr=stderr)],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert result.stdout.split() == ["7", unchanged]
