"""Duties of this node by the view that it has of the others."""
