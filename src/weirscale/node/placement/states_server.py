"""Answer the placement planner's queries for the states of a zone's engines.

Every node of a zone receives the digests of the zone's engines from their homes, so any of these
nodes can answer for all engines without further messages.
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
        directory: Reports of engines that this node has received.
        link: Receives the requests.
    """

    def __init__(self, directory: BackendDirectory, link: PeerLink) -> None:
        self._directory = directory
        link.on_call(EngineStatesRequest, self._answer)

    async def _answer(self, message: msgspec.Struct) -> EngineStatesReply:
        assert isinstance(message, EngineStatesRequest)
        now_s = anyio.current_time()
        reported = _reported_in_zone(self._directory.snapshot(), message.zone)
        states = tuple(state_of(facts, now_s) for facts in reported)
        digest = states_digest(states)
        return EngineStatesReply(
            digest=digest,
            ages=bytes(pack_age(now_s - facts.reported_at_s) for facts in reported),
            states=() if digest == message.known_digest else states,
        )


def states_digest(states: tuple[EngineState, ...]) -> int:
    """Return a digest of states that ignores `num_running`; never 0."""
    states_without_load = [msgspec.structs.replace(state, num_running=0) for state in states]
    return xxhash.xxh3_64_intdigest(cbor2.dumps(msgspec.to_builtins(states_without_load))) | 1


def _reported_in_zone(snapshot: DirectorySnapshot, zone: ZoneName) -> list[EngineFacts]:
    reported = [
        facts
        for facts in snapshot.engines.values()
        if facts.engine.zone == zone and facts.report is not None
    ]
    return sorted(reported, key=lambda facts: facts.engine.name)


def state_of(facts: EngineFacts, now_s: float) -> EngineState:
    """Return the state of an engine that has reported to this node."""
    report = facts.report
    assert report is not None
    is_up = state_at(facts.circuit, now_s) is CircuitState.CLOSED
    return EngineState.of(report, facts.leaving.is_leaving_at(now_s), is_up)
