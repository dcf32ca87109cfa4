"""The gateway: relays opaque requests by declared routes to discovered back ends.

Unlike `weirscale.node`, which serves an OpenAI-compatible API and decodes what it relays, the
gateway passes bytes through unchanged. It is responsible for routes, back ends, their selection,
retries, leases and the rollout of weights. The protocols of requests, back ends and the store are
implemented by an adapter behind `weirscale.gateway.ports`.
"""
