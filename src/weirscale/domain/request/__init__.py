"""Requests: their contents, their outcome, and the rules for retries."""
