"""Fleets of whole hollow nodes in virtual time: what control costs a node, and how fast it is."""
