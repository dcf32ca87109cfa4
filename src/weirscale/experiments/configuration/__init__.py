"""Fleets of configuration tasks in virtual time, and what spreading a change costs and takes."""
