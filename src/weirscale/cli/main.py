"""Entry point of `weirscale`: fire turns the methods of one class into commands."""

import contextlib
import io
import sys
from collections.abc import Callable, Sequence
from pathlib import Path

from result import Err

from weirscale.cli.exit_codes import EXIT_FAILED, EXIT_USAGE

Run = Callable[[], int]


class Command:
    """A command with its arguments parsed; `main` runs it.

    It is not callable, because fire would call it while it parses arguments.
    """

    def __init__(self, run: Run) -> None:
        self._run = run


def execute(command: Command) -> int:
    """Run a command and return its exit code."""
    return command._run()


class ExperimentCommands:
    """Experiments in virtual time."""

    def run(
        self,
        file: str,
        seed: int | None = None,
        report: str | None = None,
        faults: str | Sequence[str] | None = None,
    ) -> Command:
        """Run an experiment file and write report.json into the REPORT folder."""
        from weirscale.experiments.run import main as run_main

        return Command(lambda: run_main.run(str(file), seed, report, faults))


class Commands:
    """Router for language-model traffic with long shared prompts.

    Exit codes: 0 done, 1 failed, 2 bad arguments, 3 bad file, 4 refused, 5 unknown whether done,
    6 unreachable, 7 not in force everywhere.
    """

    def __init__(self) -> None:
        self.experiment = ExperimentCommands()

    def node(
        self,
        settings: str | None = None,
        zone: str | None = None,
        name: str | None = None,
        host: str | None = None,
        caller_port: int | None = None,
        peer_port: int | None = None,
        operator_port: int | None = None,
        seeds: Sequence[str] | str | None = None,
        key_value: Sequence[str] | str | None = None,
        machine_list: str | None = None,
        log_level: str | None = None,
    ) -> Command:
        """Run a node until SIGTERM, which drains it; flags override the settings file."""
        overrides: dict[str, object] = {
            "zone": zone,
            "name": name,
            "host": host,
            "caller_port": caller_port,
            "peer_port": peer_port,
            "operator_port": operator_port,
            "seeds": _addresses(seeds),
            "key_value": _addresses(key_value),
            "machine_list": machine_list,
            "log_level": log_level,
        }
        return Command(lambda: _run_node(settings, overrides))

    def trace(self, request_id: str, *files: str) -> Command:
        """Print the history of a request from gateways' logs, with the state its decisions used."""
        from weirscale.cli import trace

        return Command(lambda: trace.run(str(request_id), [str(file) for file in files]))

    def check(self, file: str) -> Command:
        """Check a deployment file; each error gives line, field and remedy."""
        from weirscale.cli import configuration

        return Command(lambda: configuration.check(str(file)))

    def plan(self, file: str, key_value: Sequence[str] | str) -> Command:
        """Print what applying a file would change, and the revision to pass to apply."""
        from weirscale.cli import configuration

        return Command(lambda: configuration.plan(str(file), _addresses(key_value) or ()))

    def apply(
        self, file: str, key_value: Sequence[str] | str, made_from: int | None = None
    ) -> Command:
        """Apply a file as a whole by compare-and-swap; print accepted, refused or unknown."""
        from weirscale.cli import configuration

        addresses = _addresses(key_value) or ()
        return Command(lambda: configuration.apply(str(file), addresses, made_from))

    def status(self, node: str, revision: int = 0, wait_s: float = 0.0) -> Command:
        """Print whether a revision is in force on all nodes; NODE is an operator address."""
        from weirscale.cli import configuration

        return Command(lambda: configuration.status(str(node), revision, wait_s))

    def explain(self, request_id: str, node: str, json: bool = False) -> Command:
        """Print the decisions about a request and their reasons; NODE is any operator address."""
        from weirscale.cli import operators

        return Command(lambda: operators.explain(str(request_id), str(node), json))

    def members(self, node: str) -> Command:
        """Print the nodes that a node considers alive."""
        from weirscale.cli import operators

        return Command(lambda: operators.members(str(node)))

    def rollout(self, node: str) -> Command:
        """Print the progress of rollouts."""
        from weirscale.cli import operators

        return Command(lambda: operators.rollout(str(node)))

    def drain(self, node: str) -> Command:
        """Start the planned stop of a node, as SIGTERM does."""
        from weirscale.cli import operators

        return Command(lambda: operators.drain(str(node)))

    def soak(self, seeds: int = 200, first_seed: int = 1) -> Command:
        """Run random faults with many seeds in virtual time; print how to repeat a failed seed."""
        from weirscale.experiments.soak import main as soak_main

        return Command(lambda: soak_main.run(seeds, first_seed))

    def demo(
        self,
        file: str = "deployments/tsehay.yaml",
        workload: str = "yearbook",
        duration_s: float = 12.0,
        requests_per_s: float = 12.0,
        seed: int = 1,
    ) -> Command:
        """Run a deployment in this process on loopback sockets and print the callers' results."""
        from weirscale.experiments.demo.main import run

        return Command(lambda: run(Path(file), workload, duration_s, requests_per_s, seed))


def _addresses(given: Sequence[str] | str | None) -> tuple[str, ...] | None:
    """Return the addresses in a flag: a comma-separated text or a sequence."""
    if given is None:
        return None
    if isinstance(given, str):
        return tuple(part.strip() for part in given.split(",") if part.strip())
    return tuple(str(part) for part in given)


def _run_node(settings_file: str | None, overrides: dict[str, object]) -> int:
    from weirscale.node.program import run_node
    from weirscale.node.settings import load_settings

    loaded = load_settings(Path(settings_file) if settings_file else None, overrides)
    if isinstance(loaded, Err):
        _print_error(str(loaded.err_value))
        return EXIT_USAGE
    return run_node(loaded.ok_value)


def _print_error(line: str) -> None:
    print(f"weirscale: {line}", file=sys.stderr)


def _parse(arguments: Sequence[str]) -> Command | int:
    """Parse the arguments with fire; an int is the exit code after help or a usage error."""
    import fire
    from fire.core import FireExit

    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output), contextlib.redirect_stdout(output):
            parsed = fire.Fire(  # type: ignore[no-untyped-call]
                Commands(), list(arguments), name="weirscale", serialize=lambda _result: None
            )
    except FireExit as exit_request:
        if exit_request.code == 0:
            lines = output.getvalue().splitlines()
            print("\n".join(line for line in lines if not line.startswith("INFO:")).strip())
            return 0
        _print_error(f"{_first_error(output.getvalue())}; see `weirscale --help`")
        return EXIT_USAGE
    if isinstance(parsed, Command):
        return parsed
    _print_error("no command given; see `weirscale --help`")
    return EXIT_USAGE


def _first_error(output: str) -> str:
    """Return fire's error without its usage text."""
    for line in output.splitlines():
        if line.startswith("ERROR:"):
            return line.removeprefix("ERROR:").strip().rstrip(".")
    return "invalid arguments"


def main() -> None:
    """Run the command on the command line and exit with its code."""
    command = _parse(sys.argv[1:])
    if isinstance(command, int):
        sys.exit(command)
    try:
        sys.exit(execute(command))
    except KeyboardInterrupt:
        sys.exit(EXIT_FAILED)
    except OSError as error:
        _print_error(f"{error}; check the addresses and paths given")
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
