"""Soak of the gateway under faults, measurements, and days for the users' bench."""
