"""An HTTP/1.1 server on a loopback port that writes raw bytes and misbehaves as a test requires."""

import socket
import struct

import anyio
from anyio.abc import SocketAttribute

from weirscale.standins.asgi_server import LOOPBACK

DELAY_S = 0.05


def with_length(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


def in_chunks(parts):
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


async def reset(stream):
    """Close the connection with a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await stream.aclose()


class ScriptedServer:
    """Answers request number n with `answer n`; the method that `behaviour` names writes the answer."""

    def __init__(self, behaviour):
        self.behaviour = behaviour
        self.num_connections = 0
        self.num_requests = 0
        self.ended_at_s = []
        self.requested_at_s = []
        self.may_answer = anyio.Event()
        self.requested = anyio.Event()
        self.address = None

    async def run(self, *, task_status):
        if self.behaviour == "reads nothing":
            await self._read_nothing(task_status)
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        self.address = f"{LOOPBACK}:{listener.extra(SocketAttribute.local_port)}"
        task_status.started(self.address)
        await listener.serve(self._serve)

    async def _read_nothing(self, task_status):
        """Accept connections in the kernel only: its receive buffer fills, and nothing reads it."""
        with socket.create_server((LOOPBACK, 0)) as listener:
            host, port = listener.getsockname()
            self.address = f"{host}:{port}"
            task_status.started(self.address)
            await anyio.sleep_forever()

    async def _serve(self, stream):
        self.num_connections += 1
        try:
            async with stream:
                while await self._serve_one(stream):
                    pass
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.ended_at_s.append(anyio.current_time())

    async def _serve_one(self, stream):
        await self._read_request(stream)
        self.num_requests += 1
        body = b"answer %d" % self.num_requests
        answer = getattr(self, "_" + self.behaviour.replace(" ", "_").replace(",", ""), None)
        if answer is None:
            raise AssertionError(f"no method for {self.behaviour!r}")
        return await answer(stream, body, self.num_requests == 1)

    async def _read_request(self, stream):
        data = b""
        while b"\r\n\r\n" not in data:
            data += await stream.receive()
        self.requested_at_s.append(anyio.current_time())
        self.requested.set()
        head, _, rest = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        if self.behaviour.endswith("body unread"):
            return
        if self.behaviour == "answers before it reads the body":
            await stream.send(with_length(b"answer %d" % (self.num_requests + 1)))
        while len(rest) < length:
            rest += await stream.receive()

    async def _answers_with_a_length(self, stream, body, _is_first):
        await stream.send(with_length(body))
        return True

    async def _answers_before_it_reads_the_body(self, _stream, _body, _is_first):
        return True

    async def _answers_in_chunks(self, stream, body, _is_first):
        await stream.send(in_chunks([body[:3], body[3:4], body[4:]]))
        return True

    async def _answers_one_byte_at_a_time(self, stream, body, _is_first):
        for byte in in_chunks([body[:3], body[3:]]):
            await stream.send(bytes([byte]))
        return True

    async def _sends_100_Continue_first(self, stream, body, _is_first):
        await stream.send(b"HTTP/1.1 100 Continue\r\n\r\n")
        await stream.send(with_length(body))
        return True

    async def _closes_after_each_answer_and_announces_it(self, stream, body, _is_first):
        await stream.send(with_length(body).replace(b"\r\n", b"\r\nConnection: close\r\n", 1))
        return False

    async def _closes_after_each_answer_unannounced(self, stream, body, _is_first):
        await stream.send(with_length(body))
        return False

    async def _resets_after_each_answer(self, stream, body, _is_first):
        await stream.send(with_length(body))
        await anyio.sleep(DELAY_S)
        await reset(stream)
        return False

    async def _answers_without_a_length_and_closes(self, stream, body, _is_first):
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        return False

    async def _resets_in_an_answer_without_a_length(self, stream, body, _is_first):
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        await anyio.sleep(DELAY_S)
        await reset(stream)
        return False

    async def _closes_in_an_answer_without_a_length_body_unread(self, stream, body, _is_first):
        await stream.send(b"HTTP/1.1 200 OK\r\n\r\n" + body)
        await anyio.sleep(DELAY_S)
        await anyio.aclose_forcefully(stream)
        return False

    async def _resets_in_an_answer_without_a_length_body_unread(self, stream, body, is_first):
        return await self._resets_in_an_answer_without_a_length(stream, body, is_first)

    async def _closes_without_an_answer_body_unread(self, stream, _body, _is_first):
        await anyio.sleep(DELAY_S)
        await anyio.aclose_forcefully(stream)
        return False

    async def _answers_twice_at_once(self, stream, body, _is_first):
        await stream.send(with_length(body) + with_length(b"surplus"))
        return True

    async def _answers_twice_the_second_time_later(self, stream, body, _is_first):
        await stream.send(with_length(body))
        await anyio.sleep(DELAY_S)
        await stream.send(with_length(b"surplus"))
        return True

    async def _truncates_the_first_answer(self, stream, body, is_first):
        answer = with_length(body)
        await stream.send(answer[:-2] if is_first else answer)
        return not is_first

    async def _truncates_a_chunk_of_the_first_answer(self, stream, body, is_first):
        answer = in_chunks([body])
        await stream.send(answer[:-7] if is_first else answer)
        return not is_first

    async def _resets_instead_of_the_first_answer(self, stream, body, is_first):
        if is_first:
            await reset(stream)
            return False
        return await self._answers_with_a_length(stream, body, is_first)

    async def _closes_instead_of_the_first_answer(self, stream, body, is_first):
        if is_first:
            return False
        return await self._answers_with_a_length(stream, body, is_first)

    async def _sends_no_HTTP_the_first_time(self, stream, body, is_first):
        if is_first:
            await stream.send(b"\x16\x03\x01 nonsense\r\n\r\n")
            return True
        return await self._answers_with_a_length(stream, body, is_first)

    async def _is_silent_the_first_time(self, stream, body, is_first):
        if is_first:
            await anyio.sleep(2.0)
            return False
        return await self._answers_with_a_length(stream, body, is_first)

    async def _stalls_in_the_first_answer(self, stream, body, is_first):
        if is_first:
            await stream.send(with_length(body)[:-2])
            await anyio.sleep(2.0)
            return False
        return await self._answers_with_a_length(stream, body, is_first)

    async def _answers_when_allowed(self, stream, body, _is_first):
        await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body[:2])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._cancel_at_end, stream, tasks.cancel_scope)
            await self.may_answer.wait()
            await stream.send(body[2:])
            tasks.cancel_scope.cancel()
        return self.may_answer.is_set()

    async def _cancel_at_end(self, stream, scope):
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            scope.cancel()
