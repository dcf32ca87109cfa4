"""Recognizes requests that repeatedly crash back ends, and refuses them for a time.

`fingerprint` identifies a request. `crash_check` distinguishes a crash from other reasons why a
connection ends. `suspects` holds the rule that decides which request causes crashes. `keeper`
decides which requests are refused now, and shares this with the other nodes through `gossip` and
`record`. Design and costs: docs/design/0022-quarantine.md.
"""
