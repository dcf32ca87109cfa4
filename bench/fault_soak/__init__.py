"""Soak test of the real program: node processes under faults, checked by what others observed."""
