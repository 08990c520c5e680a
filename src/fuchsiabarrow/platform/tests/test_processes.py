"""Processes that the tests start."""

import os
import pathlib
import signal
import subprocess
import sys
import time

PROGRAM = """
import pathlib, sys, time
from fuchsiabarrow.platform.tests import processes
from fuchsiabarrow.utils.tests import free_ports
folder = pathlib.Path(sys.argv[1])
[inner] = free_ports.find_ports(1)
entry = processes.EntryProcess("e", "127.0.0.1", inner, folder)
entry.write_settings("127.0.0.1:1", ["127.0.0.1"])
entry.start()
print(entry.pid, flush=True)
time.sleep(60.0)
"""


# Guards against entries of a soak that was ended, which kept its addresses: an
# entry of the next one found its port in use.
def test_entry_ends_with_the_process_that_started_it(tmp_path):
    with subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(tmp_path)],
        stdout=subprocess.PIPE,
        text=True,
    ) as parent:
        pid = int(parent.stdout.readline())
        parent.kill()
    until_s = time.monotonic() + 10.0
    while is_running(pid) and time.monotonic() < until_s:
        time.sleep(0.05)
    went_on = is_running(pid)
    if went_on:
        os.kill(pid, signal.SIGKILL)
    assert not went_on


def is_running(pid: int) -> bool:
    try:
        state = pathlib.Path(f"/proc/{pid}/stat").read_text().split()[2]
    except FileNotFoundError:
        return False
    return state != "Z"
