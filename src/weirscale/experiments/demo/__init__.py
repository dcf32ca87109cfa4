"""A whole deployment in one process over real sockets, for a first look."""
