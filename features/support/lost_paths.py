"""Nodes that lose their network paths to back ends, while everything else reaches them."""

from contextlib import asynccontextmanager

import anyio

from features.support.speaking_back_ends import StatementSimulation


class LostPathSimulation(StatementSimulation):
    """Nodes that lose their paths to all back ends for a time; keeps the answers by node."""

    def __init__(self, num_nodes, num_back_ends, num_zones=1):
        super().__init__(num_nodes, num_back_ends, num_zones)
        self.cut_nodes = []
        self.lost_from_s = 0.0
        self.lost_to_s = 0.0
        self.answers_of = {}

    def cut(self, names, loss, from_s, for_s, flap_s=None, service=None):
        """Let these nodes lose their paths to back ends, counted from when all is settled.

        Args:
            names: The nodes.
            loss: How the loss shows.
            from_s: When it begins.
            for_s: How long it lasts.
            flap_s: Length of each loss and of each pause in between; None for one loss.
            service: The service whose back ends are lost; None for all.
        """
        self.cut_nodes = list(names)

        async def lose_paths():
            await anyio.sleep(from_s)
            self.lost_from_s = anyio.current_time()
            self.lost_to_s = self.lost_from_s + for_s
            while anyio.current_time() < self.lost_to_s:
                async with self._lost(loss, service):
                    await anyio.sleep(flap_s or for_s)
                await anyio.sleep(flap_s or 0.0)

        self.background.append(lose_paths)

    @asynccontextmanager
    async def _lost(self, loss, service):
        pairs = [
            (name, one.address)
            for name in self.cut_nodes
            for one in self.fleet.runners
            if service in (None, one.service)
        ]
        for name, address in pairs:
            self.fleet.lost_paths.lose(name, address, loss)
        yield
        for name, address in pairs:
            self.fleet.lost_paths.restore(name, address)

    async def send_request(self, name, path=None, **more):
        answer = await super().send_request(name, path, **more)
        self.answers_of.setdefault(name, []).append(answer)
        return answer

    def sound_nodes(self):
        return [name for name in self.node_names() if name not in self.cut_nodes]

    def answers_while_lost(self, names, after_s):
        """Return the answers to requests sent later than some seconds after the paths were lost."""
        since_s = self.lost_from_s + after_s
        return [
            answer
            for name in names
            for answer in self.answers_of.get(name, [])
            if since_s <= answer.at_s < self.lost_to_s
        ]
