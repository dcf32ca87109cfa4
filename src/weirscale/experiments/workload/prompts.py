"""Texts of shared sections and whole prompts, generated from the names of sections."""

import functools

from weirscale.experiments.workload.items import GenerationItem

NUM_CACHED_SECTIONS = 2048
"""Section texts kept in memory: about 10 MB at most, at a few kilobytes each."""


@functools.lru_cache(maxsize=NUM_CACHED_SECTIONS)
def section_text(name: str, num_bytes: int) -> str:
    """Return the ASCII text of a section: exactly `num_bytes` long, different for each name."""
    num_lines = num_bytes // (len(name) + 1) + 1
    lines = (f"{name} {number:04d}\n" for number in range(num_lines))
    return "".join(lines)[:num_bytes]


def request_body(item: GenerationItem) -> dict[str, object]:
    """Return the chat body of an item, in the format of the OpenAI API."""
    shared = "".join(section_text(name, num_bytes) for name, num_bytes in item.parts.sections)
    return {
        "model": item.model,
        "messages": [
            {"role": "system", "content": shared},
            {"role": "user", "content": item.parts.question},
        ],
        "max_tokens": item.max_tokens,
        "stream": True,
    }
