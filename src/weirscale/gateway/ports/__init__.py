"""Interfaces of the gateway to the outside; an adapter implements them."""
