"""Execution of admitted requests: attempts, resumes, retries, hedges and at-most-once claims."""
