"""Runs a whole deployment as separate processes on loopback, under load and failures."""
