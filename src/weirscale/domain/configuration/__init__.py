"""The configuration that operators declare in one file; it is applied as a whole."""
