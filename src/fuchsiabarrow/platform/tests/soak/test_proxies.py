"""Tests of the proxies of the soak."""

import socket
import time

import pytest

from fuchsiabarrow.platform.tests.soak import proxies


# The soak ended with TimeoutError if an entry connected first (seed 7126).
@pytest.mark.parametrize("is_taken", [False, True])
def test_connections_to_a_full_queue_get_no_answer(is_taken):
    with (
        socket.socket() as listener,
        socket.socket() as first,
        socket.socket() as late,
    ):
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        if is_taken:
            first.connect(address)
        began_s = time.monotonic()
        with proxies._start_connecting(*address):
            assert time.monotonic() - began_s < 0.5
            late.settimeout(0.2)
            with pytest.raises(TimeoutError):
                late.connect(address)
