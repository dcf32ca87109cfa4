"""Tenant limits, fair queueing and admission."""
