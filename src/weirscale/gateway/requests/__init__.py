"""One request of a caller: admission, attempts, relay of the answer, retries, refusals."""
