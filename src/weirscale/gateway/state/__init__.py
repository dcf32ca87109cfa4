"""This node's copy of the platform's state, and when it was last proved current."""
