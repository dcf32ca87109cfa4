"""The choice of engine for a request, behind one interface with several policies."""
