"""Callers over real HTTP: they send the items of a plan and judge each answer."""

import enum
import json
import time
from collections.abc import Sequence

import anyio
import httpx
import msgspec

from weirscale.domain.prefix.prompt import prompt_bytes
from weirscale.experiments.demo.embedded import EmbeddedDeployment
from weirscale.experiments.run.requests import (
    generation_request,
    marker_of,
    service_request,
)
from weirscale.experiments.workload.items import GenerationItem, PlanItem, ServiceItem
from weirscale.experiments.workload.prompts import request_body
from weirscale.standins.engine.answer import expected_text

DATA_PREFIX = "data: "
END_MARKER = "[DONE]"
OK_STATUS = 200


class CallerVerdict(enum.Enum):
    """What a caller thinks of its answer."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    WRONG = "wrong"


class CallerResult(msgspec.Struct, frozen=True):
    """One item's end.

    Attributes:
        item: What was sent.
        verdict: What became of it.
        detail: The refusal's code, or what is wrong.
        ttft_s: From the intended send time to the first token, None without one.
        num_prompt_tokens: As answered.
        num_cached_tokens: As answered.
    """

    item: PlanItem
    verdict: CallerVerdict
    detail: str = ""
    ttft_s: float | None = None
    num_prompt_tokens: int = 0
    num_cached_tokens: int = 0


class DemoCallers:
    """Sends a plan open-loop and keeps the results."""

    def __init__(self, embedded: EmbeddedDeployment) -> None:
        self._embedded = embedded
        self.results: list[CallerResult] = []

    async def send_all(self, plan: Sequence[PlanItem]) -> None:
        """Send each item at its time and return when all have ended."""
        limits = httpx.Limits(max_connections=None)
        async with httpx.AsyncClient(limits=limits, trust_env=False, timeout=None) as client:
            start_s = time.monotonic()
            async with anyio.create_task_group() as tasks:
                for item in plan:
                    due_s = start_s + item.send_at_s
                    await anyio.sleep(max(0.0, due_s - time.monotonic()))
                    tasks.start_soon(self._send, client, item, due_s)

    async def _send(self, client: httpx.AsyncClient, item: PlanItem, due_s: float) -> None:
        try:
            if isinstance(item, GenerationItem):
                result = await self._generate(client, item, due_s)
            else:
                result = await self._call_service(client, item)
        except (httpx.HTTPError, json.JSONDecodeError, KeyError) as error:
            result = CallerResult(item, CallerVerdict.LOST, f"{type(error).__name__}: {error}")
        self.results.append(result)

    async def _generate(
        self, client: httpx.AsyncClient, item: GenerationItem, due_s: float
    ) -> CallerResult:
        body = request_body(item)
        request = generation_request(item, body)
        url = f"http://{self._embedded.caller_address(item.zone)}{request.path}"
        async with client.stream(
            request.method, url, headers=list(request.headers), content=request.body
        ) as response:
            if response.status_code != OK_STATUS:
                return _refused(item, await response.aread())
            answer = await _read_stream(response)
        prompt = prompt_bytes(body)
        assert prompt is not None
        if answer.error_code:
            return CallerResult(item, CallerVerdict.REFUSED, answer.error_code)
        if not answer.is_ended:
            return CallerResult(item, CallerVerdict.LOST, "no end marker")
        if answer.text != expected_text(prompt, item.max_tokens):
            return CallerResult(item, CallerVerdict.WRONG, "the text is not this prompt's")
        return CallerResult(
            item,
            CallerVerdict.ANSWERED,
            ttft_s=answer.first_token_at_s - due_s,
            num_prompt_tokens=answer.num_prompt_tokens,
            num_cached_tokens=answer.num_cached_tokens,
        )

    async def _call_service(self, client: httpx.AsyncClient, item: ServiceItem) -> CallerResult:
        request = service_request(item)
        query = f"?{request.query}" if request.query else ""
        url = f"http://{self._embedded.caller_address(item.zone)}{request.path}{query}"
        response = await client.request(
            request.method, url, headers=list(request.headers), content=request.body
        )
        if response.status_code != OK_STATUS:
            return _refused(item, response.content)
        if marker_of(item) not in response.text:
            return CallerResult(item, CallerVerdict.WRONG, "the answer is another request's")
        return CallerResult(item, CallerVerdict.ANSWERED)


class _StreamedAnswer(msgspec.Struct):
    text: str = ""
    first_token_at_s: float = 0.0
    is_ended: bool = False
    error_code: str = ""
    num_prompt_tokens: int = 0
    num_cached_tokens: int = 0


async def _read_stream(response: httpx.Response) -> _StreamedAnswer:
    answer = _StreamedAnswer()
    async for line in response.aiter_lines():
        if not line.startswith(DATA_PREFIX):
            continue
        data = line.removeprefix(DATA_PREFIX)
        if data == END_MARKER:
            answer.is_ended = True
            continue
        event = json.loads(data)
        if "error" in event:
            answer.error_code = event["error"]["code"]
            continue
        _take_event(answer, event)
    return answer


def _take_event(answer: _StreamedAnswer, event: dict[str, object]) -> None:
    """Add one chunk of the stream."""
    choices = event.get("choices")
    if isinstance(choices, list) and choices:
        text = choices[0].get("delta", {}).get("content") or ""
        if text and not answer.text:
            answer.first_token_at_s = time.monotonic()
        answer.text += text
    usage = event.get("usage")
    if isinstance(usage, dict):
        answer.num_prompt_tokens = usage["prompt_tokens"]
        answer.num_cached_tokens = usage["prompt_tokens_details"]["cached_tokens"]


def _refused(item: PlanItem, body: bytes) -> CallerResult:
    return CallerResult(item, CallerVerdict.REFUSED, json.loads(body)["error"]["code"])
