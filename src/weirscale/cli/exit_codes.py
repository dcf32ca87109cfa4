"""Exit codes shared by all commands; those of configuration commands are in `configuration`."""

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 6
