"""Interfaces to systems outside, and one adapter module for each published protocol."""
