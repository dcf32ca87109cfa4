"""Simulated HTTP exchanges that fail as a scenario requires."""

import httpx


def broken_exchange(error, answer):
    """Return a transport that raises `error`, or answers with the status and body in `answer`."""

    def handle(request):
        if error is not None:
            raise error("broken", request=request)
        status, body = answer
        return httpx.Response(status, content=body)

    return httpx.MockTransport(handle)
