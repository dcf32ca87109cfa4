"""Requests that crash back ends: recognised when they are sent again, and refused for a time.

`fingerprint` recognises a request, `crash_check` tells a crash from other ends, `suspects` holds
the rule of which request is the cause, `keeper` which requests are refused now, with `gossip` and
`record` for the other nodes. Design and costs: docs/design/0022-quarantine.md.
"""
