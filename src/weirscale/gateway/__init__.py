"""The gateway: relays opaque requests by declared routes to discovered back ends.

Unlike `weirscale.node`, which speaks an OpenAI-shaped API and decodes what it relays, the gateway
passes bytes through untouched. It keeps routes, back ends, choice, retries, leases and the rollout
of weights; how requests, back ends and the store are spoken to is left to an adapter behind
`weirscale.gateway.ports`.
"""
