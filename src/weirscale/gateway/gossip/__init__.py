"""Periodic exchange of loads, sent prompts and counts between nodes, within and between groups."""
