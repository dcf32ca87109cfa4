"""The operators' ASGI application: configuration, members, rollouts, explanations, drain.

Read-only except for `POST /operator/drain`. Operators change the system only by deployment files.
"""

from collections.abc import Callable

import msgspec

from weirscale.domain.identifiers import RequestId
from weirscale.node.configuration.status import STATUS_PATH
from weirscale.node.configuration.task import ConfigurationTask
from weirscale.node.interfaces import MembershipView, Peer
from weirscale.node.placement.status import PlacementStatus
from weirscale.node.routing.explain import Explainer
from weirscale.node.routing.explain_text import render_json, render_text
from weirscale.ports.asgi import (
    JSON_TYPE,
    Receive,
    Scope,
    Send,
    answer_lifespan,
    send_json,
    send_whole,
)

EXPLAIN_PREFIX = "/operator/explain/"
MEMBERS_PATH = "/operator/members"
ROLLOUT_PATH = "/operator/rollout"
DRAIN_PATH = "/operator/drain"
TEXT_QUERY = b"format=text"
TEXT_TYPE = b"text/plain; charset=utf-8"

OK = 200
ACCEPTED = 202
NOT_FOUND = 404
UNAVAILABLE = 503


class OperatorProblem(msgspec.Struct, frozen=True):
    """Body of an error response."""

    message: str
    remedy: str


class MemberList(msgspec.Struct, frozen=True):
    """Body of `/operator/members`."""

    node: str
    members: tuple[Peer, ...]


class OperatorApp:
    """Serves the requests of operators.

    Args:
        configuration: Reports how far a revision has spread through the fleet.
        membership: The live nodes.
        explainer: Finds the routing decisions of a request.
        placement: Fetches the progress of rollouts from the node that plans the placement.
        begin_drain: Starts the planned stop of this node.
    """

    def __init__(
        self,
        configuration: ConfigurationTask,
        membership: MembershipView,
        explainer: Explainer,
        placement: PlacementStatus,
        begin_drain: Callable[[], None],
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._explainer = explainer
        self._placement = placement
        self._begin_drain = begin_drain

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope["method"], scope["path"], scope["query_string"], send)

    async def _serve(self, method: str, path: str, query: bytes, send: Send) -> None:
        if method == "POST" and path == DRAIN_PATH:
            self._begin_drain()
            await send_json(send, ACCEPTED, {"draining": True})
        elif method == "GET" and path == STATUS_PATH:
            await send_json(send, OK, await self._configuration.fleet_status())
        elif method == "GET" and path == MEMBERS_PATH:
            own_name = self._membership.self_id.name
            await send_json(send, OK, MemberList(own_name, self._membership.peers()))
        elif method == "GET" and path == ROLLOUT_PATH:
            await self._send_rollout(send)
        elif method == "GET" and path.startswith(EXPLAIN_PREFIX):
            request_id = RequestId(path.removeprefix(EXPLAIN_PREFIX))
            await self._explain(request_id, TEXT_QUERY in query, send)
        else:
            problem = OperatorProblem(f"{method} {path} is not served here", "see docs/operators")
            await send_json(send, NOT_FOUND, problem)

    async def _send_rollout(self, send: Send) -> None:
        status = await self._placement.of_planner()
        if status is None:
            problem = OperatorProblem(
                "no live node currently plans the placement",
                "engines remain unchanged; check that the key-value service answers",
            )
            await send_json(send, UNAVAILABLE, problem)
        else:
            await send_json(send, OK, status)

    async def _explain(self, request_id: RequestId, as_text: bool, send: Send) -> None:
        record = await self._explainer.explain(request_id)
        if record is None:
            problem = OperatorProblem(
                f"no live node has a record of request {request_id!r}",
                "each node keeps only its latest decisions; query sooner, or check the id",
            )
            await send_json(send, NOT_FOUND, problem)
        elif as_text:
            body = render_text(record).encode() + b"\n"
            await send_whole(send, OK, [(b"content-type", TEXT_TYPE)], body)
        else:
            body = render_json(record).encode()
            await send_whole(send, OK, [(b"content-type", JSON_TYPE)], body)
