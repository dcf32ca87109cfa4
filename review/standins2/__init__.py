"""Stand-ins of the second review: the platform's store, runners, clients and gateway processes."""
