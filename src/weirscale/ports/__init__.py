"""Interfaces to external systems, with one adapter module for each published protocol."""
