"""Requests under which back ends crash: recognised when they come again, and kept from the rest."""
