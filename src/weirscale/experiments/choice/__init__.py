"""Policies of engine choice compared in virtual time, on models of both deployments."""
