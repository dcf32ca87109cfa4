import anyio
from behave import given, then, when

from features.support.async_steps import async_when
from features.support.local_allowances import LocalAllowances
from features.support.virtual_time import run_in_virtual_time
from weirscale.domain.configuration.model import Tenant
from weirscale.domain.request.model import RunStatus
from weirscale.node.limits.task import AdmissionTask


class Load:
    """Callers that use one admission task in virtual time."""

    def __init__(self, num_permits, hold_s):
        self.task = AdmissionTask(num_permits, LocalAllowances())
        self.hold_s = hold_s
        self.num_admitted = {}
        self.running = self.max_running = 0

    async def call(self, tenant, priority=None, time_left_s=1000.0, hold_s=None):
        deadline_s = anyio.current_time() + time_left_s
        priority = tenant.priority if priority is None else priority
        answer = await self.task.admit(tenant, "request", 1, priority, deadline_s)
        if answer.is_err():
            return answer.err_value
        self.num_admitted[tenant.name] = self.num_admitted.get(tenant.name, 0) + 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        await anyio.sleep(self.hold_s if hold_s is None else hold_s)
        self.running -= 1
        self.task.release(answer.ok_value)
        return answer.ok_value

    async def flood(self, tenant, num_callers, duration_s):
        async def repeat():
            while anyio.current_time() < end_s:
                await self.call(tenant)

        end_s = anyio.current_time() + duration_s
        async with anyio.create_task_group() as tasks:
            for _ in range(num_callers):
                tasks.start_soon(repeat)


def run_load(context, scenario):
    async def main():
        load = Load(context.num_permits, context.hold_s)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load.task.run)
            result = await scenario(load)
            tasks.cancel_scope.cancel()
            return result

    return run_in_virtual_time(main)


@given("a node with {num_permits:d} permits that are each held for {hold_s:g} seconds")
def step_node(context, num_permits, hold_s):
    context.num_permits, context.hold_s = num_permits, hold_s


@async_when(
    'tenant "a" with priority {priority_a:d} and weight {weight_a:g} competes with "b" of priority {priority_b:d} and weight {weight_b:g} for 30 seconds',
    run_load,
)
async def step_compete(context, load, priority_a, weight_a, priority_b, weight_b):
    first = Tenant("a", (), priority_a, weight_a)
    second = Tenant("b", (), priority_b, weight_b)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.flood, first, 15, 30.0)
        tasks.start_soon(load.flood, second, 15, 30.0)
    context.admitted = load.num_admitted


@then('tenant "a" gets between {least:g} and {most:g} times as many permits as "b"')
def step_ratio(context, least, most):
    ratio = context.admitted["a"] / context.admitted["b"]
    assert least <= ratio <= most, context.admitted


@async_when("one request of priority 10 waits behind a steady flood of priority 1", run_load)
async def step_starving(context, load):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.flood, Tenant("a", (), 1), 20, 100.0)
        await anyio.sleep(1.0)
        start_s = anyio.current_time()
        await load.call(Tenant("b", (), 10))
        waited_s = anyio.current_time() - start_s
        tasks.cancel_scope.cancel()
    context.waited_s = waited_s


@then("it is admitted within {limit_s:g} seconds")
def step_not_starved(context, limit_s):
    assert 1.0 < context.waited_s <= limit_s, context.waited_s


CASES = {
    "the queue is longer than the deadline allows": (Tenant("a", ()), 30, 1.0, 1.0),
    "the tenant's rate cannot admit it in time": (
        Tenant("a", (), requests_per_s=0.5, burst_requests=1),
        1,
        0.1,
        1.0,
    ),
    "the tenant's concurrency cannot admit it in time": (
        Tenant("a", (), max_concurrent_requests=1),
        8,
        1.0,
        2.0,
    ),
    "it is queued and no permit comes back": (Tenant("a", ()), 2, 60.0, 2.0),
}


def define_case(case):
    @when(case)
    def step_case(context):
        tenant, num_before, hold_s, time_left_s = CASES[case]

        async def scenario(load):
            async with anyio.create_task_group() as tasks:
                for _ in range(num_before):
                    tasks.start_soon(load.call, tenant, None, 100.0, hold_s)
                await anyio.sleep(0.2)
                start_s = anyio.current_time()
                refusal = await load.call(tenant, time_left_s=time_left_s)
                context.answered_after_s = anyio.current_time() - start_s
                tasks.cancel_scope.cancel()
            return refusal

        context.refusal = run_load(context, scenario)


for case in CASES:
    define_case(case)


@then(
    'the last caller gets "{code}" after {after_s:g} seconds, as not run and with a time to retry'
)
def step_refused(context, code, after_s):
    refusal = context.refusal
    assert refusal.code.value == code, refusal
    assert refusal.run_status is RunStatus.NOT_RUN
    assert refusal.retry_after_s > 0
    assert abs(context.answered_after_s - after_s) < 0.05, context.answered_after_s


@async_when(
    "callers disconnect while waiting and just as they are admitted, and a permit is released twice",
    run_load,
)
async def step_disconnect(context, load):
    tenant = Tenant("a", ())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.call, tenant)
        await anyio.sleep(0.05)
        with anyio.move_on_after(0.01):
            await load.call(tenant)
        with anyio.move_on_after(0.04):  # the permit is released at this very moment
            await load.call(tenant)
    permit = await load.call(tenant)
    load.task.release(permit)
    start_s = anyio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.call, tenant)
        tasks.start_soon(load.call, tenant)
    context.took_s = anyio.current_time() - start_s
    context.max_running = load.max_running


@then("the next two callers run one after the other")
def step_one_after_the_other(context):
    assert context.max_running == 1
    assert abs(context.took_s - 0.2) < 0.03, context.took_s
