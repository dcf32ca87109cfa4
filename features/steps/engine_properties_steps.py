from behave import then, when
from hypothesis import strategies as st

from features.support.engine_calls import make_call
from features.support.generated import for_all
from weirscale.domain.identifiers import Incarnation
from weirscale.messages.cache import BlockRemoved, BlockStored
from weirscale.ports.engine import EngineOrder, LoadModel
from weirscale.standins.engine.model import EngineModel
from weirscale.standins.engine.settings import EngineSettings

SETTINGS = EngineSettings(
    name="runner-1",
    model="qalam",
    weight_version="v1",
    num_total_blocks=30,
    max_step_tokens=40,
    max_running=3,
    max_waiting=4,
    replay_window_batches=10_000,
    attempt_retention_s=0.5,
)
STEP_S = 0.05
CALLS = st.one_of(
    st.tuples(st.just("send"), st.integers(0, 3), st.integers(1, 24), st.integers(1, 9)),
    st.tuples(st.just("cancel"), st.integers(0, 30)),
    st.tuples(st.just("step"), st.integers(1, 12)),
    st.tuples(st.just("disturb"), st.sampled_from(["crash", "load", *["nothing"] * 8])),
)


class ModelChecker:
    """Applies calls to one model and checks its invariants after each."""

    def __init__(self):
        self.model = EngineModel(SETTINGS, Incarnation(1))
        self.now_s = 0.0
        self.num_sent = 0
        self.num_loads = 0

    def apply(self, call):
        self.now_s += STEP_S
        getattr(self, call[0])(*call[1:])
        self.check()

    def send(self, draft, num_blocks, num_tokens):
        prompt = (b"%d" % draft) * 64 * num_blocks
        call = make_call(
            request_id=str(self.num_sent), prompt=prompt, max_tokens=num_tokens, time_left_s=1.0
        )
        self.num_sent += 1
        self.model.submit(call, self.now_s)

    def cancel(self, number):
        self.model.cancel(str(number), 0, self.now_s)

    def step(self, num_steps):
        for _ in range(num_steps):
            self.run_step()

    def disturb(self, disturbance):
        if disturbance != "nothing":
            getattr(self, disturbance)()

    def run_step(self):
        self.now_s += STEP_S
        if self.model.begin_step(self.now_s) is not None:
            self.model.finish_step(self.now_s)
        load = self.model.load_to_begin()
        if load is not None:
            self.model.begin_load(load, self.now_s)
            self.model.finish_load(load, True, self.now_s)

    def crash(self):
        self.model.crash(Incarnation(self.model.incarnation + 1), self.now_s)

    def load(self):
        self.num_loads += 1
        order = EngineOrder(self.num_loads, LoadModel("qalam", "v1"))
        self.model.order(order, self.now_s)

    def check(self):
        cache = self.model.cache
        assert cache._num_reserved >= 0
        assert cache.num_cached + cache._num_reserved <= SETTINGS.num_total_blocks
        self.model.flush_events(self.now_s)
        assert self.blocks_by_events() == set(cache.block_hashes())

    def blocks_by_events(self):
        blocks = set()
        for sequence in range(self.model.events.last_sequence):
            for event in self.model.events.batch_after(sequence).batch.events:
                if isinstance(event, BlockStored):
                    assert not blocks & set(event.block_hashes)
                    assert event.parent_block_hash is None or event.parent_block_hash in blocks
                    blocks.update(event.block_hashes)
                elif isinstance(event, BlockRemoved):
                    assert blocks >= set(event.block_hashes)
                    blocks.difference_update(event.block_hashes)
                else:
                    blocks.clear()
        return blocks

    def finish(self):
        while self.model.begin_step(self.now_s) is not None:
            self.now_s += STEP_S
            self.model.finish_step(self.now_s)
        report = self.model._snapshot()
        assert self.model.cache._num_reserved == 0 and not self.model.cache._pin_counts
        assert (report.num_running, report.num_waiting) == (0, 0), report
        assert report.num_waiting_prefill_tokens == 0, report


@when("{count:d} generated sequences of calls are applied to engine models")
def step_apply(context, count):
    context.num_sequences = 0

    @for_all(count, st.lists(CALLS, min_size=20, max_size=60))
    def apply_all(calls):
        checker = ModelChecker()
        for call in calls:
            checker.apply(call)
        checker.finish()
        context.num_sequences += 1


@then("memory is never exceeded and the published events always lead to the blocks held")
@then("after the last request no memory is reserved and no request waits")
def step_checked(context):
    assert context.num_sequences >= 100, context.num_sequences
