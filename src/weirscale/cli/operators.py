"""Commands that call a running node: explain, members, rollout, drain."""

import sys

import httpx

from weirscale.cli.exit_codes import EXIT_DONE, EXIT_FAILED, EXIT_UNREACHABLE
from weirscale.node.operators.app import DRAIN_PATH, EXPLAIN_PREFIX, MEMBERS_PATH, ROLLOUT_PATH

TIMEOUT_S = 30.0
"""Timeout in seconds; a node may call every node of the fleet before it answers `explain`."""

FIRST_ERROR_STATUS = 400


def explain(request_id: str, node: str, as_json: bool) -> int:
    """Print the decisions about a request and their reasons."""
    query = "" if as_json else "?format=text"
    return _call_node("GET", node, f"{EXPLAIN_PREFIX}{request_id}{query}")


def members(node: str) -> int:
    """Print the nodes that a node considers alive, as JSON."""
    return _call_node("GET", node, MEMBERS_PATH)


def rollout(node: str) -> int:
    """Print the progress of rollouts as JSON; empty on a node that does not plan rollouts."""
    return _call_node("GET", node, ROLLOUT_PATH)


def drain(node: str) -> int:
    """Start the planned stop of a node."""
    return _call_node("POST", node, DRAIN_PATH)


def _call_node(method: str, node: str, path: str) -> int:
    try:
        response = httpx.request(method, f"http://{node}{path}", timeout=TIMEOUT_S, trust_env=False)
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        reason = " ".join(str(error).split())
        print(
            f"weirscale: {node}: {reason}; give a running node's operator address", file=sys.stderr
        )
        return EXIT_UNREACHABLE
    if response.status_code >= FIRST_ERROR_STATUS:
        print(f"weirscale: {response.text.strip()}", file=sys.stderr)
        return EXIT_FAILED
    print(response.text.rstrip())
    return EXIT_DONE
