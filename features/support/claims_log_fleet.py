"""A fleet of claim ledgers that log their claims, and callers that retry keys until they have run."""

import anyio
import msgspec

from features.support.claims_fleet import Fleet

LEASE_S = 9.0


class LoggingFleet(Fleet):
    """A fleet whose claim rules keep a log in the store."""

    def start(self, number, zone, incarnation):
        in_force = self.configuration.current()
        rules = msgspec.structs.replace(
            in_force.deployment.claims, log_in_store=True, log_lease_s=LEASE_S
        )
        deployment = msgspec.structs.replace(in_force.deployment, claims=rules)
        self.configuration._in_force = msgspec.structs.replace(in_force, deployment=deployment)
        return super().start(number, zone, incarnation)

    async def restart_all(self, down_s=1.0):
        """Stop all nodes at once, and start later runs of them after `down_s`."""
        stopped = [self.stop(number) for number in sorted(self.nodes)]
        await anyio.sleep(down_s)
        for node in stopped:
            self.start(node.number, node.zone, node.node_id.incarnation + 1)

    async def call_repeatedly(self, key, first_node, until_s):
        """Send a key through one node after the other until it has run."""
        attempt = 0
        while anyio.current_time() < until_s:
            answer = await self.request((first_node + attempt) % 5, key, time_left_s=10.0)
            if answer in ("granted", "completed"):
                return
            attempt += 1
            await anyio.sleep(self.random.uniform(0.1, 2.0))


def run_logging_fleet(run_virtual, scenario, num_nodes=5, zones=("a", "b", "c")):
    """Run a scenario on a fleet after all holders have set their marks."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = LoggingFleet(tasks, num_nodes, zones)
            await fleet.wait_until_ready()
            await anyio.sleep(LEASE_S)
            try:
                return await scenario(fleet)
            finally:
                tasks.cancel_scope.cancel()

    return run_virtual(main)
