"""Check of the nesting depth of JSON text, without recursion and without parsing."""

import re

# A string (also an unterminated one) or a bracket. Possessive quantifiers keep the scan linear.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+(?:"|\\?\Z)|[\[{\]}]', re.DOTALL)

_OPENING = frozenset({b"[", b"{"})


def is_deeper_than(text: bytes, max_depth: int) -> bool:
    """Return whether arrays and objects are nested more than `max_depth` deep."""
    # Text with at most `max_depth` opening brackets, including those in strings, can't be deeper.
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
