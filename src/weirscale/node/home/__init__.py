"""Home nodes of engines: follow cache events and loads, publish digests and receive them.

The home of an engine is the one node that reads the engine's cache events and load reports, and
forwards them to other nodes as digests.
"""
