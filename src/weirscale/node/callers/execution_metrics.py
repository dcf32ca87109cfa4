"""Export of the executors' counts as metrics."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from weirscale.node.execution.counts import FailureCounts, GenerationCounts, ServiceCounts

GENERATION_KIND = "generation"
SERVICE_KIND = "service"


class ExecutionCollector(Collector):
    """Reads the counts when metrics are scraped, so that counting costs only an integer increment.

    Args:
        generation: Counts of the generation executor.
        services: Counts of the service executor.
    """

    def __init__(self, generation: GenerationCounts, services: ServiceCounts) -> None:
        self._generation = generation
        self._services = services

    def collect(self) -> Iterator[CounterMetricFamily]:
        """Yield all counters."""
        generation = self._generation
        services = self._services
        yield _by_kind(
            "weirscale_attempts",
            "Attempts of requests on back ends.",
            generation.num_attempts,
            services.num_attempts,
        )
        yield _by_kind(
            "weirscale_retries",
            "Attempts after the first, before any of the answer had come.",
            generation.num_retries,
            services.num_retries,
        )
        yield _by_kind(
            "weirscale_retry_budget_refusals",
            "Retries and hedges that the retry budget refused.",
            generation.num_budget_refusals,
            services.num_budget_refusals,
        )
        yield _failures(generation.failures, services.failures)
        yield _counter("resumes", "Streams resumed on the same engine.", generation.num_resumes)
        yield _counter(
            "continuations",
            "Answers continued on another engine.",
            generation.num_continued,
        )
        yield _counter("hedges", "Attempts beside a slow first one.", generation.num_hedges)
        yield _counter(
            "hedge_wins", "Hedges whose first chunk came first.", generation.num_hedge_wins
        )
        yield _counter(
            "repeated_chunks",
            "Chunks of engines that were dropped as repeated.",
            generation.num_repeated_chunks,
        )


def _counter(name: str, help_text: str, value: int) -> CounterMetricFamily:
    return CounterMetricFamily(f"weirscale_{name}", help_text, value=value)


def _by_kind(
    name: str, help_text: str, num_generations: int, num_services: int
) -> CounterMetricFamily:
    family = CounterMetricFamily(name, help_text, labels=("kind",))
    family.add_metric((GENERATION_KIND,), num_generations)
    family.add_metric((SERVICE_KIND,), num_services)
    return family


def _failures(generation: FailureCounts, services: FailureCounts) -> CounterMetricFamily:
    family = CounterMetricFamily(
        "weirscale_attempt_failures",
        "Failed attempts and resumes, by failure and by what followed.",
        labels=("kind", "failure", "next"),
    )
    for kind, failures in ((GENERATION_KIND, generation), (SERVICE_KIND, services)):
        for key, number in sorted(failures.items(), key=lambda item: str(item[0])):
            family.add_metric((kind, key.failure, key.step.value), number)
    return family
