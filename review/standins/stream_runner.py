"""A runner as a process of its own: its streams have neither a length nor chunks.

Arguments: host, port, id, start in Unix milliseconds (`born`), number of events of a stream,
milliseconds between two events. Standard output has a line for each request that it runs.
"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.http1 import answer_bytes, read_body, read_head


class StreamRunner:
    """Answers health checks and streams; refuses requests that are meant for another runner."""

    def __init__(self, instance: str, born_ms: int, num_events: int, pause_s: float) -> None:
        self._instance, self._born_ms = instance, born_ms
        self._num_events, self._pause_s = num_events, pause_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                request_id = request.headers.get("x-attempt-id", "")
                own = [("X-Attempt-Id", request_id), ("X-Instance-Id", self._instance)]
                if request.headers.get("x-expect-instance", self._instance) != self._instance:
                    writer.write(answer_bytes(421, own))
                elif request.target == "/healthz":
                    body = json.dumps({"id": self._instance, "born": self._born_ms}).encode()
                    writer.write(answer_bytes(200, own, body))
                else:
                    print(f"runner {self._instance} (born {self._born_ms}) runs {request_id}")
                    sys.stdout.flush()
                    await self._stream(own, request_id, writer)
                    break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _stream(
        self, own: list[tuple[str, str]], request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in own)]
        lines += ["X-Response-Seal: 1.1", "Content-Type: text/event-stream"]
        writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode())
        for number in range(1, self._num_events + 1):
            writer.write(f"id: {number}\ndata: {request_id} piece {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self._pause_s)


async def main() -> None:
    """Serve until the process is ended."""
    host, port, instance, born_ms, num_events, pause_ms = sys.argv[1:]
    runner = StreamRunner(instance, int(born_ms), int(num_events), int(pause_ms) / 1000)
    server = await asyncio.start_server(runner.serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
