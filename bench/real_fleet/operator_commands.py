"""Operators of a run: they use the product's commands, as people would."""

import re
from pathlib import Path

import msgspec

from bench.real_fleet.layout import Layout, address_of
from bench.real_fleet.processes import ProcessSet
from weirscale.cli.configuration import ExitCode
from weirscale.domain.configuration.model import Deployment
from weirscale.domain.identifiers import ConfigurationRevision
from weirscale.experiments.history.records import ConfigurationAccepted
from weirscale.experiments.run.recorder import Recorder

IN_FORCE_WAIT_S = 10
MAX_TRIES = 4
ACCEPTED_LINE = re.compile(r"^(accepted|was in place already): revision (\d+);", re.MULTILINE)


class CommandFailedError(Exception):
    """A command did not do what the run needs; the message has its output."""


class ApplyResult(msgspec.Struct, frozen=True):
    """What became of one `apply`.

    Attributes:
        code: Its exit code.
        revision: The accepted revision, None if none was.
        was_in_place: Whether the store held the same content already.
        output: What it printed.
    """

    code: int
    revision: int | None
    was_in_place: bool
    output: str


def parse_apply(code: int, output: str) -> ApplyResult:
    """Read the output of `apply`."""
    match = ACCEPTED_LINE.search(output)
    if match is None:
        return ApplyResult(code, None, False, output)
    was_in_place = match.group(1) != "accepted"
    return ApplyResult(code, int(match.group(2)), was_in_place, output)


class OperatorCommands:
    """Runs `apply` and `status`.

    Attributes:
        deployment: The declared state, as far as this operator knows.
        revision: Its revision; 0 before the first apply.
    """

    def __init__(
        self, layout: Layout, processes: ProcessSet, directory: Path, recorder: Recorder
    ) -> None:
        self.deployment = layout.deployment
        self.revision = 0
        self._layout = layout
        self._processes = processes
        self._directory = directory
        self._recorder = recorder
        self._num_files = 0

    async def apply_once(self, deployment: Deployment) -> ApplyResult:
        """Run `apply` once, from the revision known, and record what was accepted."""
        self._num_files += 1
        file = self._directory / f"deployment-{self._num_files}.yaml"
        # JSON is YAML.
        file.write_bytes(msgspec.json.format(msgspec.json.encode(deployment), indent=2))
        arguments = ["apply", str(file), f"--key_value={self._layout.key_value.address}"]
        if self.revision:
            arguments.append(f"--made_from={self.revision}")
        code, output = await self._processes.run("apply", arguments)
        result = parse_apply(code, output)
        if result.revision is not None:
            self._recorder.add(
                ConfigurationAccepted(
                    at_s=self._recorder.now(), revision=ConfigurationRevision(result.revision)
                )
            )
        return result

    async def apply(self, deployment: Deployment) -> ApplyResult:
        """Apply and run the same command again while the answer is "unknown".

        Raises:
            CommandFailedError: It was refused, or unknown to the last.
        """
        for _ in range(MAX_TRIES):
            result = await self.apply_once(deployment)
            if result.code != ExitCode.UNKNOWN:
                break
        if result.revision is None:
            raise CommandFailedError(f"apply ended with {result.code}: {result.output}")
        self.adopt(deployment, result.revision)
        return result

    def adopt(self, deployment: Deployment, revision: int) -> None:
        """Take what was accepted for the declared state."""
        self.deployment = deployment
        self.revision = revision

    async def wait_in_force(self) -> None:
        """Wait until the revision known is in force on all nodes.

        Raises:
            CommandFailedError: It is not in time.
        """
        node = address_of(self._layout.nodes[0].operator_port)
        code, output = await self._processes.run(
            "status",
            [
                "status",
                f"--node={node}",
                f"--revision={self.revision}",
                f"--wait_s={IN_FORCE_WAIT_S}",
            ],
        )
        if code != ExitCode.DONE:
            raise CommandFailedError(f"status ended with {code}: {output}")
