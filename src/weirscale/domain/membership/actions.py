"""What the membership protocol asks its task to do."""

import msgspec

from weirscale.domain.identifiers import NodeAddress


class SendCast(msgspec.Struct, frozen=True):
    """Send one message without waiting."""

    destination: NodeAddress
    message: msgspec.Struct


class StartSync(msgspec.Struct, frozen=True):
    """Call a node with `sync_request()` and give the reply to `handle_sync_reply`."""

    destination: NodeAddress


Action = SendCast | StartSync
