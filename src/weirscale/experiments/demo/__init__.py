"""Demonstration: a whole deployment in one process over real sockets."""
