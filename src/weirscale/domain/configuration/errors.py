"""Errors of a configuration file, each shown on one line."""

import msgspec


class ConfigurationError(msgspec.Struct, frozen=True):
    """One error in a configuration file.

    Attributes:
        line: Line in the file, counted from 1; 0 for an error of the whole file.
        path: The field, such as `engines[3].zone`; empty for an error of the whole file.
        message: The error.
        remedy: What to write instead.
    """

    line: int
    path: str
    message: str
    remedy: str

    def one_line(self, file_name: str) -> str:
        """Return the error as `file:line: path: message; remedy`."""
        place = f"{file_name}:{self.line}" if self.line else file_name
        field = f"{self.path}: " if self.path else ""
        return f"{place}: {field}{self.message}; {self.remedy}"
