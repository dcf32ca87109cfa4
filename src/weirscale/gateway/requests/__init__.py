"""Handling of callers' requests: admission, attempts, relay of answers, retries and refusals."""
