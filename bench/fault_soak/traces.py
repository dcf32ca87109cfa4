"""Finds tracebacks in a process's log."""

import re
from collections.abc import Iterable

TRACEBACK = "Traceback (most recent call last):"
EXCEPTION_LINE = re.compile(r"^[\s|]*([\w.]+(?:Error|Exception|Interrupt|Exit)\b.*)$")


def internal_errors(lines: Iterable[str]) -> list[Exception]:
    """Return an exception for each traceback in a process's log."""
    errors: list[Exception] = []
    is_in_trace = False
    for line in lines:
        if TRACEBACK in line:
            is_in_trace = True
        elif is_in_trace:
            match = EXCEPTION_LINE.match(line)
            if match is not None:
                errors.append(RuntimeError(match.group(1).strip()))
                is_in_trace = False
    return errors
