"""A prompt given as blocks: identifiers with token counts, in order, most shared first."""

import msgspec

from weirscale.domain.identifiers import TenantName


class PromptBlock(msgspec.Struct, frozen=True, array_like=True):
    """One block of a prompt.

    Attributes:
        block_id: Identifies the block's content and all blocks before it.
        num_tokens: Tokens of this block alone.
    """

    block_id: str
    num_tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """The outline of a prompt as its caller states it; the gateway does not read the text itself.

    Attributes:
        model: Model asked for.
        blocks: Blocks in order; the last one belongs to this request or its session alone.
        num_tokens: Tokens of the whole prompt.
        max_output_tokens: Most tokens to generate.
    """

    model: str
    blocks: tuple[PromptBlock, ...]
    num_tokens: int
    max_output_tokens: int


class CacheScope(msgspec.Struct, frozen=True):
    """Within what a cached block may be reused.

    Blocks of different scopes never match, so that nothing cached by other weights or by an
    isolated tenant is used, not even from a store that keeps the first copy of a block for good.

    Attributes:
        model: Name of the model.
        weight_version: Version of its weights.
        isolated_tenant: The tenant, if it shares with nobody.
    """

    model: str
    weight_version: int
    isolated_tenant: TenantName | None = None

    def text(self) -> str:
        """Return the text that engines and stores compare."""
        shared = f"{self.model}@{self.weight_version}"
        return f"{shared}/{self.isolated_tenant}" if self.isolated_tenant else shared
