"""Log lines, metrics and the summary of a request."""
