from collections import Counter
from random import Random

import msgspec
from behave import given, then, when

from weirscale.domain.prefix.prompt import prompt_bytes
from weirscale.experiments.workload.items import GenerationItem, ServiceItem
from weirscale.experiments.workload.plan import PlanSetting, make_plan
from weirscale.experiments.workload.prompts import request_body
from weirscale.experiments.workload.sampling import ArrivalRate, arrival_times
from weirscale.experiments.workload.shape import PRESETS, Burst

TENANTS = tuple(f"tenant-{number}" for number in range(8))
SETTING = PlanSetting(tenants=TENANTS, zones=("bole-hall", "kirkos-hall", "yeka-hall"))
DURATION_S = 300.0
PROMPT_HEAD_BYTES = len(b"system\x1e")


@given('the "{shape}" workload planned for 300 s with seed {seed:d}')
def step_plan(context, shape, seed):
    context.shape = PRESETS[shape]
    context.plan = make_plan(context.shape, SETTING, DURATION_S, seed)
    context.generations = [item for item in context.plan if isinstance(item, GenerationItem)]


@given(
    'the "{shape}" workload with {common:d} common bytes planned for {duration:d} s with seed {seed:d}'
)
def step_plan_common(context, shape, common, duration, seed):
    context.shape = msgspec.structs.replace(PRESETS[shape], common_bytes=common)
    context.plan = make_plan(context.shape, SETTING, duration, seed)
    context.generations = [item for item in context.plan if isinstance(item, GenerationItem)]


@then("prompts of different tenants share exactly {common:d} bytes after the role")
def step_common(context, common):
    head = PROMPT_HEAD_BYTES + common
    pairs = list(zip(context.generations, context.prompts, strict=True))
    assert len({item.tenant for item, _ in pairs}) > 3
    for item, prompt in pairs:
        for other_item, other_prompt in pairs:
            if item.tenant != other_item.tenant:
                assert prompt[:head] == other_prompt[:head]
                assert prompt[: head + 64] != other_prompt[: head + 64]


@when("it is planned again with seed {seed:d}")
def step_plan_again(context, seed):
    context.other_plan = make_plan(context.shape, SETTING, DURATION_S, seed)


@then("the two workload plans are {relation}")
def step_compare(context, relation):
    assert len(context.plan) > 1000
    assert (context.plan == context.other_plan) == (relation == "equal")


@when("the prompts of the workload plan are made")
def step_prompts(context):
    context.prompts = [prompt_bytes(request_body(item)) for item in context.generations]


@then("each prompt has at least {least:d} bytes and one in 50 has over {large:d}")
def step_sizes(context, least, large):
    sizes = [len(prompt) for prompt in context.prompts]
    assert min(sizes) >= least, min(sizes)
    assert sum(size > large for size in sizes) * 50 >= len(sizes)


@then("prompts share exactly the sections that their paths share")
def step_sharing(context):
    pairs = list(zip(context.generations, context.prompts, strict=True))[:60]
    for item, prompt in pairs:
        for other_item, other_prompt in pairs:
            if item is other_item:
                continue
            shared = [
                section
                for section, other in zip(
                    item.parts.sections, other_item.parts.sections, strict=True
                )
                if section == other
            ]
            num_bytes = PROMPT_HEAD_BYTES + sum(size for _, size in shared)
            assert prompt[:num_bytes] == other_prompt[:num_bytes]
            is_whole = len(shared) == len(item.parts.sections)
            assert is_whole or prompt[: num_bytes + 64] != other_prompt[: num_bytes + 64]
    for item, prompt in pairs:
        assert sum(size for _, size in item.parts.sections) < len(prompt)


@when("the workload plan is counted by tenant and section")
def step_count(context):
    context.by_tenant = Counter(item.tenant for item in context.plan)
    context.hottest = {}
    for epoch in range(int(DURATION_S // context.shape.hot_shift_every_s)):
        start_s = epoch * context.shape.hot_shift_every_s
        sections = Counter(
            item.parts.sections[1][0]
            for item in context.generations
            if item.tenant == TENANTS[0]
            and start_s <= item.send_at_s < start_s + context.shape.hot_shift_every_s
        )
        context.hottest[epoch] = sections.most_common(1)[0][0]


@then("the largest tenant sends at least twice the share of an even split")
def step_largest(context):
    assert context.by_tenant.most_common(1)[0][0] == TENANTS[0]
    assert context.by_tenant[TENANTS[0]] * len(TENANTS) >= 2 * len(context.plan)


@then("the hottest section of the largest tenant changes between hot set epochs")
def step_shift(context):
    assert len(context.hottest) >= 4
    assert len(set(context.hottest.values())) >= 3, context.hottest


@given(
    "arrivals at {rate:d} a second with swing {swing:f} over days of {day:d} s "
    "and a burst of factor {factor:d} from {start:d} s to {end:d} s"
)
def step_rate(context, rate, swing, day, factor, start, end):
    bursts = [Burst(at_s=start, lasts_s=end - start, factor=factor)]
    context.rate = ArrivalRate(rate, day, swing, bursts)


@when("arrivals are drawn for {duration:d} s with seed {seed:d}")
def step_arrivals(context, duration, seed):
    context.times = list(arrival_times(context.rate, duration, Random(seed)))


@then("the arrivals of each phase are within {percent:d} percent of the integrated rate")
def step_phases(context, percent):
    assert context.times == sorted(context.times)
    for row in context.table:
        count = sum(int(row["from"]) <= time < int(row["to"]) for time in context.times)
        expected = int(row["expected"])
        assert abs(count - expected) * 100 <= percent * expected, (row, count)


@when("the retries of the workload plan are matched with their first requests")
def step_repeats(context):
    context.services = [item for item in context.plan if isinstance(item, ServiceItem)]
    by_id = {item.request_id: item for item in context.services}
    context.pairs = [(by_id[item.repeats], item) for item in context.services if item.repeats]


@then("at least {least:d} changes are retried later with the same key, tenant and body")
def step_repeated(context, least):
    assert len(context.pairs) >= least, len(context.pairs)
    for first, retry in context.pairs:
        assert first.request_id != retry.request_id
        assert first.send_at_s <= retry.send_at_s
        assert (first.idempotency_key, first.tenant, first.body) == (
            retry.idempotency_key,
            retry.tenant,
            retry.body,
        )


@then("every change has a key and no read has one")
def step_keys(context):
    assert {item.repeatable for item in context.services} == {True, False}
    assert all(item.repeatable == (item.idempotency_key is None) for item in context.services)
