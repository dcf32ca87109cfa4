import anyio
import httpx
from behave import then, when
from result import Err

from features.support.http_exchange import broken_exchange
from features.support.loopback import served
from features.support.machine_list_app import MachineListApp
from features.support.virtual_time import run_in_virtual_time
from weirscale.ports.machines import Machine
from weirscale.ports.machines_http import HttpMachineList
from weirscale.standins.machines.in_process import InProcessMachineList
from weirscale.standins.machines.model import MachineListModel

CHANGED_AT_S = 100.0
REMOVED_AT_S = 200.0
RAISED = {"a refused connection": httpx.ConnectError, "an answer timeout": httpx.ReadTimeout}
ANSWERS = {
    "status 500": (500, b'{"machines": []}'),
    "a body that is not JSON": (200, b"["),
    "a list of numbers": (200, b'{"machines": [1]}'),
}


def changed_model():
    """Return a machine list with a lag of 3 s whose machines change twice."""
    model = MachineListModel([Machine("10.0.0.1", is_leaving=False)])
    model.put(Machine("10.0.0.1", is_leaving=True), CHANGED_AT_S)
    model.put(Machine("10.0.0.2", is_leaving=False), CHANGED_AT_S)
    model.remove("10.0.0.1", REMOVED_AT_S)
    return model


def prepare(step):
    """Return the model and the time at which the list is read."""
    model = changed_model()
    model.faults.is_down = step == "down"
    if step == "a machine wrongly omitted":
        model.faults.omitted_hosts = ("10.0.0.2",)
    is_early = step == "before the lag has passed"
    now_s = CHANGED_AT_S + (2.9 if is_early else 3.0)
    return model, REMOVED_AT_S + 3.0 if step == "after a removal" else now_s


def describe(result):
    if isinstance(result, Err):
        return "unreadable"
    machines = result.ok_value
    return ", ".join(m.host + (" leaving" if m.is_leaving else "") for m in machines)


@when('the machine list\'s "{step}" runs over the {adapter} adapter')
def step_contract(context, step, adapter):
    model, now_s = prepare(step)

    async def in_process():
        return describe(await InProcessMachineList(model, lambda: now_s).machines())

    async def over_http():
        async with served(MachineListApp(model, lambda: now_s)) as address:
            return describe(await HttpMachineList(address).machines())

    if adapter == "HTTP":
        context.machine_list = anyio.run(over_http)
    else:
        context.machine_list = run_in_virtual_time(in_process)


@then('the machine list reads "{outcome}"')
def step_outcome(context, outcome):
    assert context.machine_list == outcome, context.machine_list


@when('the machine list\'s exchange ends in "{event}"')
def step_broken(context, event):
    transport = broken_exchange(RAISED.get(event), ANSWERS.get(event))
    port = HttpMachineList("127.0.0.1:1", transport=transport)
    context.machine_list = describe(anyio.run(port.machines))


@when("the machine list takes {delay:d} s and the timeout is {timeout:d} s")
def step_slow(context, delay, timeout):
    model = changed_model()
    model.faults.delay_s = delay
    port = InProcessMachineList(model, timeout_s=timeout)
    context.machine_list = describe(run_in_virtual_time(port.machines))


@when("a machine is put, put and removed over HTTP with a lag of 0 s")
def step_admin(context):
    async def main():
        async with (
            served(MachineListApp(MachineListModel())) as address,
            httpx.AsyncClient(base_url=f"http://{address}/stand-in") as client,
        ):
            await client.post("/faults", json={"lag_s": 0})
            for host in ("10.0.0.7", "10.0.0.8"):
                await client.post("/machines", json={"host": host, "is_leaving": False})
            removed = {"host": "10.0.0.7", "is_leaving": False}
            await client.post("/machines/remove", json=removed)
            assert (await client.post("/machines", json={"host": 7})).status_code == 400
            return describe(await HttpMachineList(address).machines())

    context.machine_list = anyio.run(main)
