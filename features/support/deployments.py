"""Shipped and minimal deployments for scenarios."""

from pathlib import Path

from weirscale.domain.configuration.model import Deployment

DEPLOYMENTS = Path(__file__).parents[2] / "deployments"


def text_of(name):
    return (DEPLOYMENTS / f"{name}.yaml").read_text()


def small_deployment(name):
    return Deployment(1, name, (), (), (), ())
