"""Recognizes what repeatedly crashes back ends, and refuses it for a time.

That is either one request that is sent again and again, or a block that the prompts of many
different requests share. `crash_check` distinguishes a crash from other reasons why a connection
ends. For requests, `fingerprint` identifies them and `suspects` holds the rule that decides which
one causes crashes; for blocks, `block_key` and `block_suspects` do. `keeper` and `block_keeper`
decide what is refused now (`active`), and share this with the other nodes through `gossip` and
`record`. Designs and costs: docs/design/0022-quarantine.md, docs/design/0028-shared-blocks.md.
"""
