"""All typed messages that weirscale's own processes and tasks exchange."""
