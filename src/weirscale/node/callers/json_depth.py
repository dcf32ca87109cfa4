"""Nesting depth of JSON text, found without recursion and without parsing it."""

import re

# A string (also one that never ends), or one bracket. Possessive, so that the scan stays linear.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)|[\[{\]}]', re.DOTALL)

_OPENING = frozenset({b"[", b"{"})


def is_deeper_than(text: bytes, max_depth: int) -> bool:
    """Return whether the text opens more than `max_depth` arrays and objects at once."""
    # Fewer opening brackets than the limit, strings included, can't nest deeper.
    if text.count(b"{") + text.count(b"[") <= max_depth:
        return False
    depth = 0
    for match in _TOKEN.finditer(text):
        token = match.group()
        if token in _OPENING:
            depth += 1
            if depth > max_depth:
                return True
        elif not token.startswith(b'"'):
            depth -= 1
    return False
