"""Prompts as ordered blocks with identifiers and token counts, most widely shared first."""

import msgspec

from weirscale.domain.identifiers import TenantName


class PromptBlock(msgspec.Struct, frozen=True, array_like=True):
    """One block of a prompt.

    Attributes:
        block_id: Identifies the block's content and all blocks before it.
        num_tokens: Number of tokens of this block alone.
    """

    block_id: str
    num_tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """The outline of a prompt as its caller states it; the gateway does not read the text itself.

    Attributes:
        model: Requested model.
        blocks: Blocks in order; the last one belongs only to this request or its session.
        num_tokens: Number of tokens of the whole prompt.
        max_output_tokens: Maximum number of tokens to generate.
    """

    model: str
    blocks: tuple[PromptBlock, ...]
    num_tokens: int
    max_output_tokens: int

    @property
    def shared_blocks(self) -> tuple[PromptBlock, ...]:
        """The blocks that other requests may have too: all but the last."""
        return self.blocks[:-1]


class CacheScope(msgspec.Struct, frozen=True):
    """The scope within which a cached block may be reused.

    Blocks of different scopes never match. Blocks cached with other weights or for an isolated
    tenant are therefore never reused, even from a store that keeps the first copy of a block
    permanently.

    Attributes:
        model: Name of the model.
        weight_version: Version of its weights.
        isolated_tenant: The tenant if it is isolated, or None.
    """

    model: str
    weight_version: int
    isolated_tenant: TenantName | None = None

    def text(self) -> str:
        """Return the scope as the text that engines and stores compare."""
        shared = f"{self.model}@{self.weight_version}"
        return f"{shared}/{self.isolated_tenant}" if self.isolated_tenant else shared
