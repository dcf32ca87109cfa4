"""Policies that an experiment can put in place of the product's, by name."""

from collections.abc import Callable, Mapping

from weirscale.domain.choice.approximate_tree import ApproximateTree
from weirscale.domain.choice.least_outstanding import LeastOutstanding
from weirscale.domain.choice.policy import ChoicePolicy
from weirscale.domain.choice.random_choice import RandomChoice
from weirscale.domain.choice.rendezvous_bounded import RendezvousBounded

DEFAULT_POLICY = "default"
"""The product's own."""

BASELINES: Mapping[str, Callable[[], ChoicePolicy]] = {
    "random": RandomChoice,
    "least_outstanding": LeastOutstanding,
    "rendezvous_bounded": RendezvousBounded,
    "approximate_tree": ApproximateTree,
}

POLICIES = (DEFAULT_POLICY, *BASELINES)


def make_baseline(name: str) -> ChoicePolicy | None:
    """Return a new baseline for one node; None stands for the product's policy."""
    make = BASELINES.get(name)
    return make() if make is not None else None
