"""At-most-once claims of idempotency keys, kept in a ledger replicated by quorum."""
