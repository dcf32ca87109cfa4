"""Free loopback ports below the range that outgoing connections draw theirs from.

A node that is killed must find its ports free when it starts again, so they must not be ones that
the kernel hands to any connection in between.
"""

import socket
from random import Random

from bench.real_fleet.layout import LOOPBACK

FIRST_PORT = 20_000
LAST_PORT = 31_999
"""Below Linux's default range of ephemeral ports, which begins at 32768."""
MAX_TRIES = 10_000


class PortTaker:
    """Draws ports that are free now, none twice."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._taken: set[int] = set()

    def take(self) -> int:
        """Return a port that is free for TCP and UDP.

        Raises:
            OSError: No free port was found.
        """
        for _ in range(MAX_TRIES):
            port = self._random.randint(FIRST_PORT, LAST_PORT)
            if port not in self._taken and _is_free(port):
                self._taken.add(port)
                return port
        raise OSError("no free loopback port; end other runs")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                return False
    return True
