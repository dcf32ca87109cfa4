"""Interfaces between the gateway and its platform; an adapter implements them."""
