"""What is wrong with a configuration file, in one line for each error."""

import msgspec


class ConfigurationError(msgspec.Struct, frozen=True):
    """One error in a configuration file.

    Attributes:
        line: Line in the file, counted from 1; 0 when the whole file is meant.
        path: The field, such as `engines[3].zone`; empty when the whole file is meant.
        message: What is wrong.
        remedy: What to write instead.
    """

    line: int
    path: str
    message: str
    remedy: str

    def one_line(self, file_name: str) -> str:
        """Render as `file:line: path: message; remedy`."""
        place = f"{file_name}:{self.line}" if self.line else file_name
        field = f"{self.path}: " if self.path else ""
        return f"{place}: {field}{self.message}; {self.remedy}"
