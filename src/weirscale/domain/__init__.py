"""Decision rules of the router: no I/O; time and randomness are passed in."""
