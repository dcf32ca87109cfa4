"""HTTP exchanges that break as a scenario wants, in place of a server."""

import httpx


def broken_exchange(error, answer):
    """Return a transport that raises an error, or answers with a status and a body."""

    def handle(request):
        if error is not None:
            raise error("broken", request=request)
        status, body = answer
        return httpx.Response(status, content=body)

    return httpx.MockTransport(handle)
