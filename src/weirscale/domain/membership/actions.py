"""Actions that the membership protocol returns for its task to carry out."""

import msgspec

from weirscale.domain.identifiers import NodeAddress


class SendCast(msgspec.Struct, frozen=True):
    """Send one message without waiting for an answer."""

    destination: NodeAddress
    message: msgspec.Struct


class StartSync(msgspec.Struct, frozen=True):
    """Call a node with `sync_request()` and pass the reply to `handle_sync_reply`."""

    destination: NodeAddress


Action = SendCast | StartSync
