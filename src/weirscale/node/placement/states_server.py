"""Tells the placement planner what this node has heard of a zone's engines.

Every node of a zone hears of its engines by the digests of their homes, so any of them can answer
for all, without another message.
"""

import anyio
import cbor2
import msgspec
import xxhash

from weirscale.domain.health.circuit import CircuitState, state_at
from weirscale.domain.identifiers import ZoneName
from weirscale.messages.engine_states import (
    EngineState,
    EngineStatesReply,
    EngineStatesRequest,
    pack_age,
)
from weirscale.node.backends.directory import BackendDirectory
from weirscale.node.backends.facts import DirectorySnapshot, EngineFacts
from weirscale.node.peers.link import PeerLink


class EngineStatesServer:
    """Answers `EngineStatesRequest` on this node.

    Args:
        directory: What this node has heard of engines.
        link: Receives the requests.
    """

    def __init__(self, directory: BackendDirectory, link: PeerLink) -> None:
        self._directory = directory
        link.on_call(EngineStatesRequest, self._answer)

    async def _answer(self, message: msgspec.Struct) -> EngineStatesReply:
        assert isinstance(message, EngineStatesRequest)
        now_s = anyio.current_time()
        heard = _heard_in_zone(self._directory.snapshot(), message.zone)
        states = tuple(state_of(facts, now_s) for facts in heard)
        digest = states_digest(states)
        return EngineStatesReply(
            digest=digest,
            ages=bytes(pack_age(now_s - facts.reported_at_s) for facts in heard),
            states=() if digest == message.known_digest else states,
        )


def states_digest(states: tuple[EngineState, ...]) -> int:
    """Return a digest of states, `num_running` aside; never 0."""
    steady = [msgspec.structs.replace(state, num_running=0) for state in states]
    return xxhash.xxh3_64_intdigest(cbor2.dumps(msgspec.to_builtins(steady))) | 1


def _heard_in_zone(snapshot: DirectorySnapshot, zone: ZoneName) -> list[EngineFacts]:
    heard = [
        facts
        for facts in snapshot.engines.values()
        if facts.engine.zone == zone and facts.report is not None
    ]
    return sorted(heard, key=lambda facts: facts.engine.name)


def state_of(facts: EngineFacts, now_s: float) -> EngineState:
    """Return the state of an engine that has reported to this node."""
    report = facts.report
    assert report is not None
    is_up = state_at(facts.circuit, now_s) is CircuitState.CLOSED
    return EngineState.of(report, facts.leaving.is_leaving_at(now_s), is_up)
